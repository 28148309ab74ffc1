#include "coordination/crash_recorder.h"

#include <algorithm>

#include "base/log_event.h"
#include "state/request_fingerprint.h"

namespace quetzalridge {

namespace {

// Endpoints that are lost within this time may be lost with their availability zone.
constexpr Duration kOutageWindow = Duration::Seconds(2);
constexpr size_t kMaxLosses = 256;

bool Contains(const std::vector<uint64_t>& fingerprints, uint64_t fingerprint) {
  return std::find(fingerprints.begin(), fingerprints.end(), fingerprint) != fingerprints.end();
}

}  // namespace

uint64_t FingerprintOf(const EndpointCall& call) {
  return call.reads_events ? 0 : RequestFingerprint(call.workspace, call.host + call.target, call.body.str());
}

void CrashRecorder::OnCrash(const std::string& endpoint, std::vector<CrashedRequest> calls) {
  const TimePoint now = m_clock->Now();
  while (!m_losses.empty() && (now - m_losses.front().at > kOutageWindow || m_losses.size() >= kMaxLosses)) {
    m_losses.pop_front();
  }
  Loss loss{now, endpoint, {}};
  for (const CrashedRequest& call : calls) {
    loss.fingerprints.push_back(call.fingerprint);
  }
  m_losses.push_back(std::move(loss));
  if (calls.empty()) {
    return;
  }
  ++m_crashes;
  for (CrashedRequest& call : calls) {
    call.ran_alone = call.ran_alone && !IsPartOfOutage(call.fingerprint);
  }
  m_quarantine->OnCrash(calls, now);
  for (const CrashedRequest& call : calls) {
    const bool quarantined = m_quarantine->Check(call.fingerprint, now) == FingerprintVerdict::kQuarantined;
    Log(quarantined ? LogEvent::kRequestQuarantined : LogEvent::kRequestSuspected,
        {{"fingerprint", FingerprintText(call.fingerprint)},
         {"endpoint", endpoint},
         {"ran_alone", call.ran_alone ? "yes" : "no"},
         {"calls_lost", std::to_string(calls.size())}});
  }
  if (m_recorded) {
    m_recorded();
  }
}

bool CrashRecorder::IsPartOfOutage(uint64_t fingerprint) const {
  return std::any_of(m_losses.begin(), m_losses.end(), [this, fingerprint](const Loss& loss) {
    const bool ran_there = std::any_of(m_losses.begin(), m_losses.end(), [&loss, fingerprint](const Loss& other) {
      return other.endpoint == loss.endpoint && Contains(other.fingerprints, fingerprint);
    });
    return !ran_there;
  });
}

}  // namespace quetzalridge
