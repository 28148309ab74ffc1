#pragma once

#include <cstdio>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

// Writes record.txt: what was sent, answered and run, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : m_file(std::fopen(file.c_str(), "w")), m_began(NowMs()) {}

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::fprintf(m_file, "%7lld %s\n", static_cast<long long>(NowMs() - m_began), Printable(text).c_str());
    std::fflush(m_file);
  }

 private:
  static std::string Printable(const std::string& text) {
    constexpr size_t kMost = 400;
    std::string printable;
    for (const unsigned char c : text.substr(0, kMost)) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\x%02x", c);
      printable += c < 0x20 || c >= 0x7f ? escaped : std::string(1, static_cast<char>(c));
    }
    return printable;
  }

  std::mutex m_mutex;
  std::FILE* m_file;
  int64_t m_began;
};

}  // namespace review
