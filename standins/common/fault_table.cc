#include "standins/common/fault_table.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace quetzalridge {

void FaultTable::Apply(const std::string& json) {
  const nlohmann::json faults = nlohmann::json::parse(json);
  if (!faults.is_object()) {
    throw std::runtime_error("faults are a JSON object, for example {\"delay_ms\":100}");
  }
  for (const auto& [name, value] : faults.items()) {
    m_numbers.erase(name);
    m_texts.erase(name);
    if (value.is_string()) {
      m_texts[name] = value.get<std::string>();
    } else if (value.is_boolean()) {
      m_numbers[name] = value.get<bool>() ? 1 : 0;
    } else if (value.is_number_integer()) {
      m_numbers[name] = value.get<int64_t>();
    } else if (!value.is_null()) {
      throw std::runtime_error("fault '" + name + "' must be a whole number, a string, a boolean or null");
    }
  }
}

int64_t FaultTable::Number(const std::string& name, int64_t default_value) const {
  const auto it = m_numbers.find(name);
  return it == m_numbers.end() ? default_value : it->second;
}

const std::string& FaultTable::Text(const std::string& name) const {
  static const std::string kEmpty;
  const auto it = m_texts.find(name);
  return it == m_texts.end() ? kEmpty : it->second;
}

bool FaultTable::Matches(const std::string& name, const std::string& data) const {
  const std::string& text = Text(name);
  return !text.empty() && data.find(text) != std::string::npos;
}

bool FaultTable::Take(const std::string& name) {
  const auto it = m_numbers.find(name);
  if (it == m_numbers.end() || it->second <= 0) {
    return false;
  }
  --it->second;
  return true;
}

bool FaultTable::Chance(const std::string& name) {
  constexpr uint64_t kPercent = 100;
  const int64_t percent = Number(name);
  return percent > 0 && m_random.Below(kPercent) < static_cast<uint64_t>(percent);
}

}  // namespace quetzalridge
