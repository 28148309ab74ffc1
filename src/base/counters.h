#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace quetzalridge {

// Integer metrics by name. Text() returns them in the Prometheus text format.
class Counters {
 public:
  void Add(const std::string& name, int64_t amount = 1) { m_values[name] += amount; }
  void Set(const std::string& name, int64_t value) { m_values[name] = value; }
  int64_t Get(const std::string& name) const {
    const auto found = m_values.find(name);
    return found == m_values.end() ? 0 : found->second;
  }
  std::string Text() const {
    std::string text;
    for (const auto& [name, value] : m_values) {
      text += "quetzalridge_" + name + " " + std::to_string(value) + "\n";
    }
    return text;
  }

 private:
  std::map<std::string, int64_t> m_values;
};

}  // namespace quetzalridge
