#pragma once

#include <string>

#include "tests/history/history.h"

namespace quetzalridge::history {

// Adds the records of a stand-in to a history. A last line that a kill cut short is left out.
void ReadEndpointRecords(const std::string& file, const std::string& endpoint, History* history);
void ReadPlatformRecords(const std::string& file, History* history);

}  // namespace quetzalridge::history
