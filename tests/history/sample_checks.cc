#include <algorithm>
#include <map>
#include <set>

#include "standins/common/token_text.h"
#include "tests/history/checks.h"

namespace quetzalridge::history {

namespace {

// Guarantee 2 is judged at the send; the page allows 500 ms between the version read and the send, and 100 ms of
// transfer.
constexpr int64_t kVersionReadToReceiptMs = 500 + 100;

std::string Name(const DeliveredBatch& batch, const DeliveredSample& sample) {
  return "sample " + sample.group + "/" + std::to_string(sample.index) + " of batch " + std::to_string(batch.batch) +
         " of " + batch.queue;
}

std::vector<VersionRun> RunsOf(const std::vector<AnswerToken>& tokens) {
  std::vector<VersionRun> runs;
  for (const AnswerToken& token : tokens) {
    if (runs.empty() || runs.back().version != token.weight_version) {
      runs.push_back({token.weight_version, 0});
    }
    ++runs.back().tokens;
  }
  return runs;
}

bool SameRuns(const std::vector<VersionRun>& a, const std::vector<VersionRun>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const VersionRun& x, const VersionRun& y) {
    return x.version == y.version && x.tokens == y.tokens;
  });
}

bool AreWhole(const std::vector<AnswerToken>& tokens, const std::string& hash, int64_t count) {
  int64_t index = 0;
  for (const AnswerToken& token : tokens) {
    if (token.prompt_hash != hash || token.index != index++) {
      return false;
    }
  }
  return index == count;
}

std::map<std::string, SubmittedGroup> GroupsByName(const History& history) {
  std::map<std::string, SubmittedGroup> groups;
  for (const SubmittedGroup& group : history.groups) {
    groups[group.queue + "/" + group.group] = group;
  }
  return groups;
}

bool SameBytes(const DeliveredBatch& a, const DeliveredBatch& b) {
  return std::equal(a.samples.begin(), a.samples.end(), b.samples.begin(), b.samples.end(),
                    [](const DeliveredSample& x, const DeliveredSample& y) {
                      return x.group == y.group && x.index == y.index && x.text == y.text &&
                             SameRuns(x.weight_versions, y.weight_versions);
                    });
}

}  // namespace

Violations CheckSampleVersions(const History& history) {
  Violations violations;
  const std::map<std::string, SubmittedGroup> groups = GroupsByName(history);
  for (const DeliveredBatch& batch : history.batches) {
    for (const DeliveredSample& sample : batch.samples) {
      const auto tokens = ParseTokens(sample.text);
      if (!tokens || !SameRuns(RunsOf(*tokens), sample.weight_versions)) {
        violations.push_back(Name(batch, sample) + " names weight versions that did not produce its tokens");
        continue;
      }
      const auto group = groups.find(batch.queue + "/" + sample.group);
      if (group == groups.end() || !AreWhole(*tokens, group->second.prompt_hash, group->second.max_tokens)) {
        violations.push_back(Name(batch, sample) + " is not the whole answer to the prompt of its group");
      }
    }
  }
  return violations;
}

Violations CheckSampleFreshness(const History& history) {
  Violations violations;
  for (const DeliveredBatch& batch : history.batches) {
    const int64_t known_ms = std::max(batch.requested_ms, batch.received_ms - kVersionReadToReceiptMs);
    int64_t newest = 0;
    for (const Publication& publication : history.publications) {
      if (publication.ms < known_ms) {
        newest = std::max(newest, publication.version);
      }
    }
    for (const DeliveredSample& sample : batch.samples) {
      for (const VersionRun& run : sample.weight_versions) {
        if (run.version < newest - history.staleness_bound) {
          violations.push_back(Name(batch, sample) + " has tokens of version " + std::to_string(run.version) +
                               " although version " + std::to_string(newest) + " was published");
          break;
        }
      }
    }
  }
  return violations;
}

Violations CheckSampleDelivery(const History& history) {
  Violations violations;
  std::map<std::pair<std::string, int64_t>, const DeliveredBatch*> confirmed;
  for (const DeliveredBatch& batch : history.batches) {
    if (!batch.is_confirmed) {
      continue;
    }
    const auto [it, is_new] = confirmed.emplace(std::make_pair(batch.queue, batch.batch), &batch);
    if (!is_new && !SameBytes(*it->second, batch)) {
      violations.push_back("batch " + std::to_string(batch.batch) + " of " + batch.queue +
                           " was delivered with different samples");
    }
  }
  std::map<std::string, std::set<int64_t>> delivered;
  for (const auto& [name, batch] : confirmed) {
    for (const DeliveredSample& sample : batch->samples) {
      if (!delivered[batch->queue + "/" + sample.group].insert(sample.index).second) {
        violations.push_back(Name(*batch, sample) + " was delivered before");
      }
    }
  }
  for (const SubmittedGroup& group : history.groups) {
    const auto count = static_cast<int64_t>(delivered[group.queue + "/" + group.group].size());
    if (history.expects_all_samples && count != group.needed) {
      violations.push_back("group " + group.group + " of " + group.queue + " delivered " + std::to_string(count) +
                           " of " + std::to_string(group.needed) + " samples");
    }
  }
  return violations;
}

}  // namespace quetzalridge::history
