#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/random.h"

namespace quetzalridge {

// Named faults, set by POST /standin/faults with a JSON object. A number is a count, a time, or a probability in
// percent; a string is a text to look for; null clears the fault.
class FaultTable {
 public:
  explicit FaultTable(uint64_t seed) : m_random(seed) {}

  // Throws std::runtime_error when the text is not an object of numbers, strings, booleans and nulls.
  void Apply(const std::string& json);

  int64_t Number(const std::string& name, int64_t default_value = 0) const;
  bool On(const std::string& name) const { return Number(name) != 0; }
  // Empty when the fault is not set.
  const std::string& Text(const std::string& name) const;
  // True when the text fault is set and occurs in `data`.
  bool Matches(const std::string& name, const std::string& data) const;
  // True for the next `Number(name)` calls.
  bool Take(const std::string& name);
  // True with a probability of `Number(name)` percent.
  bool Chance(const std::string& name);

 private:
  std::map<std::string, int64_t> m_numbers;
  std::map<std::string, std::string> m_texts;
  Random m_random;
};

}  // namespace quetzalridge
