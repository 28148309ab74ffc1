#include "protocol/relay_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <sstream>
#include <utility>

#include "base/http_status.h"
#include "protocol/detail_bounded_archive.h"

namespace quetzalridge {

namespace {

using detail::Input;
using detail::MalformedMessage;
using detail::Output;

// Must be increased when the layout of a message changes, so that instances of different releases do not misread each
// other.
constexpr uint64_t kFormatVersion = 1;

constexpr size_t kMaxTextBytes = 64 << 10;
constexpr size_t kMaxHeaders = 200;
constexpr size_t kMaxBodyBytes = 32 << 20;
// Larger than a piece of a body or an event that the HTTP client or the parser of events returns.
constexpr size_t kMaxFrameBytes = 8 << 20;
constexpr size_t kFrameHeadBytes = 5;
constexpr int kBitsPerByte = 8;

void WriteText(Output* out, const std::string& text) {
  detail::WriteString(out, text, kMaxTextBytes);
}

std::string ReadText(Input* in) {
  return detail::ReadString(in, kMaxTextBytes);
}

void WriteHeaders(Output* out, const HttpHeaders& headers) {
  detail::WriteList(out, headers, kMaxHeaders, [](Output* archive, const HttpHeader& header) {
    WriteText(archive, header.name);
    WriteText(archive, header.value);
  });
}

HttpHeaders ReadHeaders(Input* in) {
  HttpHeaders headers;
  detail::ReadList(in, &headers, kMaxHeaders, [](Input* archive) {
    HttpHeader header;
    header.name = ReadText(archive);
    header.value = ReadText(archive);
    return header;
  });
  return headers;
}

void WriteDuration(Output* out, Duration duration) {
  detail::WriteNumberOrMinusOne(out, std::max<int64_t>(duration.ms(), 0));
}

Duration ReadDuration(Input* in) {
  const int64_t ms = detail::ReadNumberOrMinusOne(in);
  if (ms < 0) {
    throw MalformedMessage();
  }
  return Duration::Milliseconds(ms);
}

template <typename Number>
void WriteOptional(Output* out, const std::optional<Number>& number) {
  detail::WriteBool(out, number.has_value());
  (*out)(number.value_or(Number()));
}

template <typename Number>
std::optional<Number> ReadOptional(Input* in) {
  const bool has_value = detail::ReadBool(in);
  Number number = Number();
  (*in)(number);
  return has_value ? std::optional<Number>(number) : std::nullopt;
}

template <typename Write>
std::string Encode(const Write& write) {
  std::ostringstream stream;
  {
    Output out(stream);
    detail::WriteVarint(&out, kFormatVersion);
    write(&out);
  }
  return stream.str();
}

template <typename Value, typename Read>
std::optional<Value> Decode(const std::string& message, const Read& read) {
  try {
    std::istringstream stream(message);
    Input in(stream);
    if (detail::ReadVarint(&in, kFormatVersion) != kFormatVersion) {
      return std::nullopt;
    }
    Value value;
    read(&in, &value);
    return value;
  } catch (const MalformedMessage&) {
    return std::nullopt;
  } catch (const cereal::Exception&) {
    // The message ends too early.
    return std::nullopt;
  }
}

bool IsFrameType(char type) {
  switch (static_cast<RelayFrameType>(type)) {
    case RelayFrameType::kHead:
    case RelayFrameType::kBody:
    case RelayFrameType::kEvent:
    case RelayFrameType::kEnd:
    case RelayFrameType::kKeepAlive:
      return true;
  }
  return false;
}

}  // namespace

std::string EncodeRelayedCall(const EndpointCall& call) {
  return Encode([&call](Output* out) {
    WriteText(out, call.endpoint_id);
    WriteText(out, call.method);
    WriteText(out, call.host);
    WriteText(out, call.target);
    WriteHeaders(out, call.headers);
    detail::WriteString(out, call.body, kMaxBodyBytes);
    WriteText(out, call.request_id);
    WriteText(out, call.workspace);
    WriteDuration(out, call.time_left);
    WriteDuration(out, call.connect_timeout);
    WriteDuration(out, call.head_timeout);
    WriteDuration(out, call.idle_timeout);
    WriteOptional(out, call.resume_after);
    detail::WriteBool(out, call.reads_events);
    detail::WriteBool(out, call.is_repeatable);
  });
}

std::optional<EndpointCall> DecodeRelayedCall(const std::string& message) {
  return Decode<EndpointCall>(message, [](Input* in, EndpointCall* call) {
    call->endpoint_id = ReadText(in);
    call->method = ReadText(in);
    call->host = ReadText(in);
    call->target = ReadText(in);
    call->headers = ReadHeaders(in);
    call->body = detail::ReadString(in, kMaxBodyBytes);
    call->request_id = ReadText(in);
    call->workspace = ReadText(in);
    call->time_left = ReadDuration(in);
    call->connect_timeout = ReadDuration(in);
    call->head_timeout = ReadDuration(in);
    call->idle_timeout = ReadDuration(in);
    call->resume_after = ReadOptional<int64_t>(in);
    call->reads_events = detail::ReadBool(in);
    call->is_repeatable = detail::ReadBool(in);
  });
}

std::string EncodeRelayFrame(RelayFrameType type, std::string_view content) {
  std::string frame(1, static_cast<char>(type));
  for (size_t i = 1; i < kFrameHeadBytes; ++i) {
    frame.push_back(static_cast<char>(content.size() >> (kBitsPerByte * (i - 1))));
  }
  frame.append(content);
  return frame;
}

std::string EncodeResponseHead(const EndpointResponseHead& head) {
  return Encode([&head](Output* out) {
    detail::WriteVarint(out, static_cast<uint64_t>(head.status));
    WriteHeaders(out, head.headers);
    detail::WriteBool(out, head.not_run);
    detail::WriteBool(out, head.wrong_endpoint);
    detail::WriteBool(out, head.leaving);
    WriteOptional(out, head.model_version);
    WriteOptional(out, head.rate_limit);
    WriteText(out, head.signature);
  });
}

std::optional<EndpointResponseHead> DecodeResponseHead(const std::string& content) {
  return Decode<EndpointResponseHead>(content, [](Input* in, EndpointResponseHead* head) {
    head->status = static_cast<int>(detail::ReadVarint(in, kLastStatus));
    head->headers = ReadHeaders(in);
    // Clients get the head as it is.
    if (head->status < kFirstFinalStatus || !std::all_of(head->headers.begin(), head->headers.end(), IsValidHeader)) {
      throw MalformedMessage();
    }
    head->not_run = detail::ReadBool(in);
    head->wrong_endpoint = detail::ReadBool(in);
    head->leaving = detail::ReadBool(in);
    head->model_version = ReadOptional<int64_t>(in);
    head->rate_limit = ReadOptional<double>(in);
    head->signature = ReadText(in);
  });
}

std::string EncodeStreamEvent(const StreamEvent& event) {
  return Encode([&event](Output* out) {
    WriteOptional(out, event.id);
    detail::WriteString(out, event.data, kMaxFrameBytes);
    WriteOptional(out, event.model_version);
  });
}

std::optional<StreamEvent> DecodeStreamEvent(const std::string& content) {
  return Decode<StreamEvent>(content, [](Input* in, StreamEvent* event) {
    event->id = ReadOptional<int64_t>(in);
    event->data = detail::ReadString(in, kMaxFrameBytes);
    event->model_version = ReadOptional<int64_t>(in);
  });
}

std::string EncodeCallResult(const EndpointCallResult& result) {
  return Encode([&result](Output* out) {
    detail::WriteVarint(out, static_cast<uint64_t>(result.outcome));
    detail::WriteBool(out, result.timed_out);
    detail::WriteBool(out, result.connection_failed);
    detail::WriteBool(out, result.path_failed);
    WriteText(out, result.detail);
  });
}

std::optional<EndpointCallResult> DecodeCallResult(const std::string& content) {
  return Decode<EndpointCallResult>(content, [](Input* in, EndpointCallResult* result) {
    const auto last = static_cast<uint64_t>(EndpointCallOutcome::kTruncated);
    result->outcome = static_cast<EndpointCallOutcome>(detail::ReadVarint(in, last));
    result->timed_out = detail::ReadBool(in);
    result->connection_failed = detail::ReadBool(in);
    result->path_failed = detail::ReadBool(in);
    result->detail = ReadText(in);
  });
}

std::vector<RelayFrame> RelayFrameParser::Feed(std::string_view data) {
  std::vector<RelayFrame> frames;
  if (m_malformed) {
    return frames;
  }
  m_buffer.append(data);
  size_t position = 0;
  while (m_buffer.size() - position >= kFrameHeadBytes) {
    size_t size = 0;
    for (size_t i = 1; i < kFrameHeadBytes; ++i) {
      size |= static_cast<size_t>(static_cast<unsigned char>(m_buffer[position + i])) << (kBitsPerByte * (i - 1));
    }
    if (!IsFrameType(m_buffer[position]) || size > kMaxFrameBytes) {
      m_malformed = true;
      return frames;
    }
    if (m_buffer.size() - position < kFrameHeadBytes + size) {
      break;
    }
    frames.push_back(
        {static_cast<RelayFrameType>(m_buffer[position]), m_buffer.substr(position + kFrameHeadBytes, size)});
    position += kFrameHeadBytes + size;
  }
  m_buffer.erase(0, position);
  return frames;
}

}  // namespace quetzalridge
