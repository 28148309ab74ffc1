#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/endpoint_caller.h"

namespace quetzalridge {

// What one instance sends another one, to have a call passed on to an endpoint. Everything but the address, which the
// other instance takes from its own directory.
std::string EncodeRelayedCall(const EndpointCall& call);
// Returns nothing if the message is malformed.
std::optional<EndpointCall> DecodeRelayedCall(const std::string& message);

// The response to a relayed call is a sequence of frames: a byte that names the type, the size of the content in four
// bytes, the lowest first, and the content.
enum class RelayFrameType : char {
  kHead = 'H',
  kBody = 'B',
  kEvent = 'V',
  // The last frame.
  kEnd = 'E',
  // Without content. Shows that the other instance runs.
  kKeepAlive = 'K',
};

struct RelayFrame {
  RelayFrameType type = RelayFrameType::kKeepAlive;
  std::string content;
};

std::string EncodeRelayFrame(RelayFrameType type, std::string_view content);

std::string EncodeResponseHead(const EndpointResponseHead& head);
std::string EncodeStreamEvent(const StreamEvent& event);
std::string EncodeCallResult(const EndpointCallResult& result);
// These return nothing if the content is malformed.
std::optional<EndpointResponseHead> DecodeResponseHead(const std::string& content);
std::optional<StreamEvent> DecodeStreamEvent(const std::string& content);
std::optional<EndpointCallResult> DecodeCallResult(const std::string& content);

// Splits a response to a relayed call into frames.
class RelayFrameParser {
 public:
  // Returns the frames that are complete with these bytes.
  std::vector<RelayFrame> Feed(std::string_view data);
  // The bytes were no sequence of frames. No further frame is returned.
  bool malformed() const { return m_malformed; }

 private:
  std::string m_buffer;
  bool m_malformed = false;
};

}  // namespace quetzalridge
