#pragma once

#include <string>
#include <vector>

#include "standins/common/stand_in.h"

namespace quetzalridge {

// A plain HTTP service, for example a scoring service. Each request that runs is one `effect` record, and the answer
// names the request's path and the hash of its body.
//
// Faults, besides those of every stand-in:
//   refuse          requests answer 503 without an effect
//   lose_answer     the next n requests run and their connections close without an answer
//   cut_answer      the next n answers are cut in the middle
//   work_ms         time from the effect to the answer
//   wrong_id        the next n answers echo another request identity
//   previous_answer the next n requests get the answer and the identity of the request before
//   crash_after_effect  the process ends after the effect when the body contains the text
class PlainServiceStandIn : public StandIn {
 public:
  explicit PlainServiceStandIn(const ProgramOptions& options);
  static std::vector<ProgramOption> OwnOptions();

 protected:
  void Handle(const HttpRequest& request, const Responder& responder) override;

 private:
  void Answer(const HttpRequest& request, const Responder& responder);

  const Duration m_work;
  int64_t m_effects = 0;
  std::string m_previous_id;
  std::string m_previous_body_hash;
};

}  // namespace quetzalridge
