#pragma once

#include <string>
#include <vector>

#include "coordination/config_proposer.h"
#include "state/config_document.h"

namespace quetzalridge {

// Decodes the body of POST /admin/change. Throws Error(kInvalidRequest) when the body is malformed.
ConfigProposal DecodeConfigProposal(const std::string& body);

// Encodes {"version":n}, the response to an accepted change.
std::string EncodeVersion(int64_t version);
// Encodes {"error":{…},"version":head,"changes":[…]}, the response to a change that conflicts with newer changes.
std::string EncodeConfigConflict(const ProposalResult& result);

}  // namespace quetzalridge
