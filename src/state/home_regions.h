#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace quetzalridge {

// The regions in which requests may run and their bodies may be held; any region if no set was given.
class HomeRegions {
 public:
  HomeRegions() = default;
  explicit HomeRegions(std::set<std::string> regions) : m_regions(std::move(regions)) {}

  bool restricts() const { return m_regions.has_value(); }
  // An unknown region has an empty name, and is allowed only without a restriction.
  bool Allows(const std::string& region) const {
    return !m_regions.has_value() || (!region.empty() && m_regions->count(region) > 0);
  }
  // The regions that both allow.
  HomeRegions And(const HomeRegions& other) const {
    if (!m_regions.has_value() || !other.m_regions.has_value()) {
      return m_regions.has_value() ? *this : other;
    }
    std::set<std::string> common;
    for (const std::string& region : *m_regions) {
      if (other.m_regions->count(region) > 0) {
        common.insert(region);
      }
    }
    return HomeRegions(std::move(common));
  }

 private:
  std::optional<std::set<std::string>> m_regions;
};

}  // namespace quetzalridge
