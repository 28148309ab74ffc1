#include "state/sample_group.h"

#include <algorithm>

#include "base/hash.h"

namespace quetzalridge {

// Each field is preceded by its length, so that two different specs never give the same text.
std::string SpecDigest(const SampleGroupSpec& spec) {
  std::string text;
  for (const std::string& field :
       {spec.id, std::to_string(spec.step), spec.prompt, spec.model, std::to_string(spec.samples),
        std::to_string(spec.needed), std::to_string(spec.max_tokens)}) {
    text += std::to_string(field.size()) + ":" + field;
  }
  constexpr size_t kDigestDigits = 16;
  return Sha256Hex(text).substr(0, kDigestDigits);
}

SampleGroup::SampleGroup(SampleGroupSpec spec, double straggler_factor)
    : m_spec(std::move(spec)), m_straggler_factor(straggler_factor), m_members(static_cast<size_t>(m_spec.samples)) {}

std::vector<int> SampleGroup::UnstartedMembers() const {
  std::vector<bool> taken(m_members.size(), false);
  for (size_t i = 0; i < m_copies.size(); ++i) {
    if (!m_abandoned[i]) {
      taken[static_cast<size_t>(m_copies[i].member)] = true;
    }
  }
  std::vector<int> members;
  for (size_t i = 0; i < m_members.size(); ++i) {
    if (!taken[i] && !m_members[i].result.has_value() && !m_members[i].failed) {
      members.push_back(static_cast<int>(i));
    }
  }
  return members;
}

SampleGroup::CopyId SampleGroup::AddCopy(int member, TimePoint now) {
  SampleCopy copy;
  copy.member = member;
  copy.started = now;
  copy.running = true;
  m_copies.push_back(std::move(copy));
  m_abandoned.push_back(false);
  Member& state = m_members.at(static_cast<size_t>(member));
  if (!state.started) {
    state.started = true;
    state.first_started = now;
  }
  return m_copies.size() - 1;
}

SampleGroup::CopyId SampleGroup::AddCopyFrom(CopyId source, TimePoint now) {
  const SampleCopy original = m_copies.at(source);
  const CopyId id = AddCopy(original.member, now);
  SampleCopy& copy = m_copies[id];
  copy.text = original.text;
  copy.version_runs = original.version_runs;
  copy.inherited_tokens = TokenCount(original.version_runs);
  copy.avoided_endpoints = original.avoided_endpoints;
  if (!original.endpoint.empty()) {
    copy.avoided_endpoints.push_back(original.endpoint);
  }
  return id;
}

void SampleGroup::OnStarted(CopyId id, const std::string& endpoint) {
  SampleCopy& copy = m_copies.at(id);
  copy.endpoint = endpoint;
  copy.running = true;
  copy.window_open = false;
  copy.token_ms.reset();
  copy.previous_token_ms.reset();
}

void SampleGroup::OnToken(CopyId id, std::string_view text, int64_t version, TimePoint now) {
  SampleCopy& copy = m_copies.at(id);
  if (!copy.window_open) {
    copy.window_open = true;
    copy.window_started = now;
    copy.window_tokens = 0;
  } else {
    ++copy.window_tokens;
  }
  copy.text.append(text);
  AppendToken(&copy.version_runs, version);
}

void SampleGroup::OnFinished(CopyId id, TimePoint now) {
  SampleCopy& copy = m_copies.at(id);
  copy.running = false;
  Member& member = m_members[static_cast<size_t>(copy.member)];
  if (member.result.has_value()) {
    return;
  }
  member.finish_order = FinishedCount();
  member.result = id;
  member.run_time = now - member.first_started;
}

void SampleGroup::OnInterrupted(CopyId id) {
  SampleCopy& copy = m_copies.at(id);
  copy.running = false;
  copy.avoided_endpoints.clear();
  if (!copy.endpoint.empty()) {
    copy.avoided_endpoints.push_back(copy.endpoint);
  }
}

void SampleGroup::OnNotStarted(CopyId id) {
  m_copies.at(id).avoided_endpoints.clear();
}

void SampleGroup::OnMemberFailed(CopyId id) {
  m_copies.at(id).running = false;
  m_members[static_cast<size_t>(m_copies[id].member)].failed = true;
}

void SampleGroup::DiscardText(CopyId id) {
  SampleCopy& copy = m_copies.at(id);
  m_discarded_tokens += TokenCount(copy.version_runs) - copy.inherited_tokens;
  copy.inherited_tokens = 0;
  copy.text.clear();
  copy.version_runs.clear();
}

void SampleGroup::Abandon(CopyId id) {
  m_copies.at(id).running = false;
  m_abandoned[id] = true;
}

bool SampleGroup::IsUnneeded(CopyId id) const {
  const Member& member = m_members[static_cast<size_t>(m_copies.at(id).member)];
  return m_abandoned[id] || member.failed || member.result.has_value() || complete();
}

std::vector<SampleGroup::CopyId> SampleGroup::Stragglers(TimePoint now) const {
  std::vector<CopyId> stragglers;
  const std::optional<Duration> limit = StragglerLimit();
  if (!limit.has_value() || complete()) {
    return stragglers;
  }
  const std::vector<int> copies = LiveCopiesByMember();
  for (size_t i = 0; i < m_copies.size(); ++i) {
    const auto member = static_cast<size_t>(m_copies[i].member);
    if (m_copies[i].running && copies[member] == 1 && !IsUnneeded(i) && now - m_copies[i].started > *limit) {
      stragglers.push_back(i);
    }
  }
  return stragglers;
}

std::vector<EndpointTokenTime> SampleGroup::TakeTokenTimes(TimePoint now) {
  std::vector<EndpointTokenTime> times;
  for (SampleCopy& copy : m_copies) {
    const Duration elapsed = now - copy.window_started;
    if (!copy.running || !copy.window_open || elapsed < kTokenWindow) {
      continue;
    }
    // A stream that stalls has no token in the window. It counts as one token that takes at least as long as the
    // window.
    const double token_ms =
        static_cast<double>(elapsed.ms()) / static_cast<double>(std::max<int64_t>(copy.window_tokens, 1));
    copy.previous_token_ms = copy.token_ms;
    copy.token_ms = token_ms;
    copy.window_started = now;
    copy.window_tokens = 0;
    times.push_back({copy.endpoint, token_ms});
  }
  return times;
}

std::vector<SampleGroup::CopyId> SampleGroup::SlowCopies(double limit_ms) const {
  std::vector<CopyId> slow;
  const std::vector<int> copies = LiveCopiesByMember();
  for (size_t i = 0; i < m_copies.size(); ++i) {
    const SampleCopy& copy = m_copies[i];
    if (copy.running && copies[static_cast<size_t>(copy.member)] == 1 && !IsUnneeded(i) &&
        copy.token_ms.value_or(0.0) > limit_ms && copy.previous_token_ms.value_or(0.0) > limit_ms) {
      slow.push_back(i);
    }
  }
  return slow;
}

int SampleGroup::OverdueMembers(TimePoint now) const {
  const std::optional<Duration> limit = StragglerLimit();
  if (!limit.has_value()) {
    return 0;
  }
  return static_cast<int>(std::count_if(m_members.begin(), m_members.end(), [&](const Member& member) {
    return member.started && !member.failed && !member.result.has_value() && now - member.first_started > *limit;
  }));
}

std::vector<int> SampleGroup::LiveCopiesByMember() const {
  std::vector<int> copies(m_members.size(), 0);
  for (size_t i = 0; i < m_copies.size(); ++i) {
    copies[static_cast<size_t>(m_copies[i].member)] += m_abandoned[i] ? 0 : 1;
  }
  return copies;
}

std::optional<Duration> SampleGroup::StragglerLimit() const {
  const std::optional<Duration> median = MedianRunTime();
  if (!median.has_value()) {
    return std::nullopt;
  }
  return Duration::Milliseconds(static_cast<int64_t>(m_straggler_factor * static_cast<double>(median->ms())));
}

std::optional<Duration> SampleGroup::MedianRunTime() const {
  std::vector<int64_t> times;
  size_t started = 0;
  for (const Member& member : m_members) {
    started += member.started ? 1 : 0;
    if (member.result.has_value()) {
      times.push_back(member.run_time.ms());
    }
  }
  if (times.empty() || times.size() * 2 < started) {
    return std::nullopt;
  }
  std::sort(times.begin(), times.end());
  // Members that still run are taken to run longer than all finished ones, so the median of the started members is at
  // this position.
  return Duration::Milliseconds(times[(started - 1) / 2]);
}

bool SampleGroup::complete() const {
  return FinishedCount() >= m_spec.needed || FinishedCount() + failed_members() == static_cast<int>(m_members.size());
}

std::vector<FinishedSample> SampleGroup::Results() const {
  std::vector<FinishedSample> results;
  for (size_t i = 0; i < m_members.size(); ++i) {
    const Member& member = m_members[i];
    if (member.result.has_value() && member.finish_order < m_spec.needed) {
      const SampleCopy& copy = m_copies[*member.result];
      results.push_back({static_cast<int>(i), copy.text, copy.version_runs, copy.endpoint});
    }
  }
  return results;
}

int SampleGroup::failed_members() const {
  return static_cast<int>(std::count_if(m_members.begin(), m_members.end(),
                                        [](const Member& m) { return m.failed && !m.result.has_value(); }));
}

int64_t SampleGroup::WastedTokens() const {
  int64_t produced = m_discarded_tokens;
  for (const SampleCopy& copy : m_copies) {
    produced += TokenCount(copy.version_runs) - copy.inherited_tokens;
  }
  for (const FinishedSample& sample : Results()) {
    produced -= TokenCount(sample.version_runs);
  }
  return produced;
}

int SampleGroup::FinishedCount() const {
  return static_cast<int>(
      std::count_if(m_members.begin(), m_members.end(), [](const Member& m) { return m.result.has_value(); }));
}

}  // namespace quetzalridge
