#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/fakes/raw_server.h"
#include "transport/http_client.h"

namespace quetzalridge {
namespace {

constexpr char kWholeResponse[] = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

std::string WithLength(const std::string& status_line, const std::string& body) {
  return status_line + "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Receives responses to calls. An event loop keeps its descriptor until the process ends, so the calls share one.
struct Receiver {
  EventLoop loop;

  // The server keeps the connection open, so a call that waits for further bytes times out.
  HttpResponse Receive(const std::string& bytes) {
    RawServer server;
    HttpClient client(&loop);
    server.keeps_connection_open = true;
    HttpCall call;
    call.address = server.address();
    call.accepts_unframed_body = true;
    call.head_timeout = Duration::Seconds(5);
    call.idle_timeout = Duration::Seconds(20);
    std::optional<HttpResponse> response;
    client.Fetch(std::move(call), [&response](const HttpResponse& received) { response = received; });
    while (!response.has_value()) {
      server.Poll(bytes);
      loop.RunOnce(Duration::Milliseconds(1));
    }
    return *response;
  }

  // The call ends at once, without a part of an answer.
  void CheckRejected(const std::string& bytes) {
    INFO(bytes);
    const HttpResponse response = Receive(bytes);
    CHECK(response.result.outcome == CallOutcome::kNoAnswer);
    CHECK_FALSE(response.result.timed_out);
    CHECK(response.status == 0);
    CHECK(response.headers.empty());
    CHECK(response.body.empty());
  }
};

// Guards against a head that is skipped like that of an interim response: its body was taken for the answer, or the
// call waited for one until its timeout.
TEST_CASE_METHOD(Receiver, "a response whose status is outside the range of the protocol is no answer") {
  for (const char* status : {"000", "001", "042", "099", "600", "700", "999"}) {
    const std::string status_line = std::string("HTTP/1.1 ") + status + " Status";
    CheckRejected(status_line + "\r\n\r\n");
    CheckRejected(WithLength(status_line, "body"));
    CheckRejected(WithLength(status_line, kWholeResponse));
    CheckRejected(status_line + "\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
  }
}

TEST_CASE_METHOD(Receiver, "a response whose status is not three digits is no answer") {
  for (const char* status : {"", "0", "20", "2000", "-20", "+20", "2 0", "2x0", "0x2"}) {
    CheckRejected(WithLength(std::string("HTTP/1.1 ") + status + " Status", kWholeResponse));
  }
}

// Guards against bytes of another protocol that are taken for the response: no call asks for one.
TEST_CASE_METHOD(Receiver, "a response that switches protocols is no answer") {
  CheckRejected(std::string("HTTP/1.1 101 Switching Protocols\r\nupgrade: other\r\n\r\n") + kWholeResponse);
}

// Guards against responses that are refused although they are valid.
TEST_CASE_METHOD(Receiver, "each status of the protocol is passed on with its body") {
  for (const int status :
       {200, 201, 202, 203, 206, 207, 226, 299, 300, 302, 399, 400, 418, 421, 429, 451, 499, 500, 503, 507, 511, 599}) {
    INFO(status);
    const HttpResponse response = Receive(WithLength("HTTP/1.1 " + std::to_string(status) + " Status", "whole"));
    CHECK(response.result.outcome == CallOutcome::kWhole);
    CHECK(response.status == status);
    CHECK(response.body == "whole");
  }
}

TEST_CASE_METHOD(Receiver, "a status without a reason is passed on") {
  const HttpResponse response = Receive(WithLength("HTTP/1.1 202 ", "whole"));
  CHECK(response.result.outcome == CallOutcome::kWhole);
  CHECK(response.status == 202);
}

TEST_CASE_METHOD(Receiver, "informational responses before the answer are skipped") {
  for (const char* status_line : {"HTTP/1.1 100 Continue", "HTTP/1.1 102 Processing", "HTTP/1.1 103 Early Hints",
                                  "HTTP/1.1 104 Upload Resumption Supported", "HTTP/1.1 199 Other"}) {
    INFO(status_line);
    const std::string interim = std::string(status_line) + "\r\nlink: a\r\n\r\n";
    const HttpResponse response = Receive(interim + interim + kWholeResponse);
    CHECK(response.result.outcome == CallOutcome::kWhole);
    CHECK(response.status == 200);
    CHECK(response.body == "whole");
    CHECK(FindHeader(response.headers, "link") == nullptr);
  }
}

// Guards against a line that is passed on although its name holds a byte which no name may hold, and against one that
// hides the length of the body in this way.
TEST_CASE_METHOD(Receiver, "a response with an invalid field name is no answer") {
  std::vector<std::string> names = {"content-length ",
                                    "content-length\t",
                                    " content-length",
                                    "\tcontent-length",
                                    "content length",
                                    "x\xc3\xa9",
                                    "",
                                    "x(y)",
                                    "x\"y",
                                    "x/y",
                                    "x[y]"};
  for (int byte = 0; byte < 0x20; ++byte) {
    names.push_back(std::string("x") + static_cast<char>(byte) + "y");
  }
  names.push_back("x\x7fy");
  for (const std::string& name : names) {
    CheckRejected("HTTP/1.1 200 OK\r\n" + name + ": 5\r\n\r\nwhole");
    CheckRejected("HTTP/1.1 200 OK\r\nserver: a\r\n" + name + ": 5\r\ncontent-length: 5\r\n\r\nwhole");
    CheckRejected("HTTP/1.1 100 Continue\r\n" + name + ": 5\r\n\r\n" + kWholeResponse);
  }
}

TEST_CASE_METHOD(Receiver, "a response with a line without a field name is no answer") {
  CheckRejected("HTTP/1.1 200 OK\r\nno colon\r\ncontent-length: 5\r\n\r\nwhole");
  CheckRejected("HTTP/1.1 200 OK\r\nserver: a\r\n continued: 5\r\ncontent-length: 5\r\n\r\nwhole");
}

TEST_CASE_METHOD(Receiver, "a response with a control byte in a field value is no answer") {
  for (const char byte : {'\0', '\x01', '\x0b', '\r', '\x7f'}) {
    CheckRejected(std::string("HTTP/1.1 200 OK\r\nx: a") + byte + "b\r\ncontent-length: 5\r\n\r\nwhole");
  }
}

// Guards against responses that are refused although they are valid.
TEST_CASE_METHOD(Receiver, "unusual but valid field names and values are passed on") {
  const HttpResponse response = Receive(
      "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: 1\r\n0: 2\r\nx-empty:\r\nx-text: \xc3\xa9\t \"b\"\r\n"
      "Content-LENGTH: 5\r\n\r\nwhole");
  CHECK(response.result.outcome == CallOutcome::kWhole);
  CHECK(response.body == "whole");
  const std::pair<const char*, const char*> fields[] = {
      {"!#$%&'*+-.^_`|~09azaz", "1"}, {"0", "2"}, {"x-empty", ""}, {"x-text", "\xc3\xa9\t \"b\""}};
  for (const auto& [name, value] : fields) {
    INFO(name);
    const std::string* found = FindHeader(response.headers, name);
    REQUIRE(found != nullptr);
    CHECK(*found == value);
  }
}

// Guards against answers that are not recognized, or whose length is not: blanks after a value are not part of it.
TEST_CASE_METHOD(Receiver, "blanks around a field value are not part of it") {
  for (const char* framing : {"content-length: 5 \r\n\r\nwhole", "content-length:\t5\t \r\n\r\nwhole",
                              "transfer-encoding: chunked \r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
    INFO(framing);
    const HttpResponse response = Receive(std::string("HTTP/1.1 200 OK\r\nx-padded:  a b \t\r\n") + framing);
    CHECK(response.result.outcome == CallOutcome::kWhole);
    CHECK(response.body == "whole");
    REQUIRE(FindHeader(response.headers, "x-padded") != nullptr);
    CHECK(*FindHeader(response.headers, "x-padded") == "a b");
  }
}

// Guards against a body that ends elsewhere than its sender means.
TEST_CASE_METHOD(Receiver, "a length that is not a decimal number is no length") {
  for (const char* length : {"+5", "-5", "-0", "5 5", "0x5", "5,6", "", "five", "99999999999999999999999"}) {
    INFO(length);
    const HttpResponse response =
        Receive(std::string("HTTP/1.1 200 OK\r\ncontent-length: ") + length + "\r\n\r\nwhole");
    CHECK(response.result.outcome == CallOutcome::kCut);
    CHECK_FALSE(response.result.timed_out);
    CHECK(response.body.empty());
  }
}

}  // namespace
}  // namespace quetzalridge
