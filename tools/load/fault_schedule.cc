#include "tools/load/fault_schedule.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace quetzalridge {

FaultSchedule::FaultSchedule(LoadContext* context) : m_context(context) {
  const std::string& file = context->options->Text("fault-schedule");
  if (file.empty()) {
    return;
  }
  std::ifstream stream(file);
  if (!stream) {
    throw std::runtime_error("cannot read the fault schedule " + file + "; check its name");
  }
  for (std::string line; std::getline(stream, line);) {
    std::istringstream fields(line);
    int64_t second = 0;
    std::string address;
    std::string faults;
    if (!(fields >> second >> address) || !std::getline(fields >> std::ws, faults)) {
      throw std::runtime_error("the fault schedule has the line '" + line + "'; write <second> <address> <JSON>");
    }
    m_timers.push_back(context->loop->After(Duration::Seconds(second), [this, address, faults] {
      std::fprintf(m_context->csv, "fault,%.1f,%s,,,,,,,,\"%s\"\n", m_context->Seconds(), address.c_str(),
                   faults.c_str());
      m_context->client->Fetch(m_context->Post(address, "/standin/faults", "", faults), [](const HttpResponse&) {});
    }));
  }
}

}  // namespace quetzalridge
