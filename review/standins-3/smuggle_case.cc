// A client that the operator does not control submits a batch job in which the value of one header has line breaks.

#include <set>

#include "fleet.h"

namespace review {

int Play(Lab* lab, Record* record, bool trouble) {
  const std::string job = "7c41e09b52d6a3f8";
  const std::string item = "e5b2907c14da6f38";
  const std::string target = std::string(kBatchPrefix) + "3/91c4";
  std::string note = "nightly";
  if (trouble) {
    note += "\r\nX-Quetzalridge-Request-Id: 5afe5afe5afe5afe\r\nX-Quetzalridge-Tenant: " + std::string(kTenantB) +
            "\r\nContent-Length: 0\r\n\r\nPOST " + target + " HTTP/1.1\r\nX-Rest: 1";
  }
  const std::vector<Item> items = {{item, target, {{"X-Note", note}}, "a prompt", "group-1"}};
  BatchClient client(lab->fleet.get(), record, kKeyA);
  const int status =
      client.Submit(lab->fleet->machines()[0], std::string(kBatchPrefix) + "a1", job, BatchBody(items, 1));
  if (status == 202) {
    client.Results(lab->fleet->machines()[0], job, 1, 6000);
  } else if (!trouble || status == 0) {
    return kNotRun;
  }
  const std::set<std::string> sent = {item};
  bool broken = false;
  int runs = 0;
  for (const auto& replica : lab->replicas) {
    for (const Run& run : replica->runs()) {
      ++runs;
      if (sent.count(run.id) == 0 || run.tenant != kTenantA) {
        broken = true;
        record->Line("ran without being sent: id=" + run.id + " tenant=" + run.tenant + ", with the key of " +
                     kTenantA);
      }
    }
  }
  record->Line(std::to_string(runs) + " runs; " + (broken ? "UNASKED is broken" : "the rule held"));
  return broken ? kBroken : (runs == 0 && status == 202 ? kNotRun : kHeld);
}

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, 3, 2, review::Play);
}
