#pragma once

#include <string>
#include <vector>

#include "coordination/config_proposer.h"
#include "state/config_document.h"

namespace quetzalridge {

// The body of POST /admin/change. Throws Error(kInvalidRequest) on malformed input.
ConfigProposal DecodeConfigProposal(const std::string& body);

// {"version":n}
std::string EncodeVersion(int64_t version);
// {"error":{…},"version":head,"changes":[…]}
std::string EncodeConfigConflict(const ProposalResult& result);

}  // namespace quetzalridge
