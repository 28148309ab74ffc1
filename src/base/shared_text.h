#pragma once

#include <memory>
#include <string>
#include <utility>

namespace quetzalridge {

// An immutable text that its copies share, so that a large body is held once for all attempts to send it.
class SharedText {
 public:
  SharedText() = default;
  // Implicit, since calls and requests are filled from strings. NOLINTNEXTLINE(google-explicit-constructor)
  SharedText(std::string text) : m_text(std::make_shared<const std::string>(std::move(text))) {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  SharedText(const char* text) : SharedText(std::string(text)) {}

  const std::string& str() const {
    static const std::string kEmpty;
    return m_text == nullptr ? kEmpty : *m_text;
  }
  // NOLINTNEXTLINE(google-explicit-constructor)
  operator const std::string&() const { return str(); }

  bool empty() const { return str().empty(); }
  size_t size() const { return str().size(); }
  const char* data() const { return str().data(); }
  std::string::const_iterator begin() const { return str().begin(); }
  std::string::const_iterator end() const { return str().end(); }

  friend bool operator==(const SharedText& a, const SharedText& b) { return a.str() == b.str(); }

 private:
  std::shared_ptr<const std::string> m_text;
};

}  // namespace quetzalridge
