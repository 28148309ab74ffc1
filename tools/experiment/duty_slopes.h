#pragma once

#include <functional>
#include <string>

namespace quetzalridge {

// Takes one figure: the object, its size, the measure, the unit and the value.
using FigureReceiver = std::function<void(const std::string& object, int size, const std::string& measure,
                                          const std::string& unit, double value)>;

// Measures what the holder of each duty does at growing sizes: processor time, messages, and bytes of rows. The duties
// are the daemon's own; the table service and the platform are in memory, on a manual clock.
void MeasureDuties(const FigureReceiver& receiver);

}  // namespace quetzalridge
