#include "transport/http_platform.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace quetzalridge {
namespace {

// Serves a list, with a tag unless it is empty.
class ListHandler : public HttpHandler {
 public:
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override {
    const std::string* known = FindHeader(request.headers, "if-none-match");
    asked_tags.push_back(known == nullptr ? "" : *known);
    HttpHeaders headers;
    if (!tag.empty()) {
      headers.push_back({"etag", tag});
    }
    if (status != 200 || (known != nullptr && *known == tag)) {
      responder->Send(status != 200 ? status : 304, headers, "");
      return;
    }
    ++bodies;
    responder->Send(200, headers, body);
  }

  std::string tag = "\"1\"";
  std::string body = R"({"revision":1,"instances":[{"id":"p1","role":"endpoint","service":"s","zone":"z",)"
                     R"("address":"127.0.0.1:9","kind":"steady","state":"live"}]})";
  int status = 200;
  int bodies = 0;
  std::vector<std::string> asked_tags;
};

struct Fixture {
  EventLoop loop;
  ListHandler handler;
  HttpServer server{&loop, {}, &handler};
  HttpClient client{&loop};
  HttpPlatform platform{&client, Options()};

  PlatformClientOptions Options() {
    PlatformClientOptions options;
    options.address = "127.0.0.1:" + std::to_string(server.port());
    return options;
  }
  InstanceListResult List() {
    InstanceListResult result;
    bool done = false;
    platform.ListInstances([&](const InstanceListResult& list) {
      result = list;
      done = true;
    });
    while (!done) {
      loop.RunOnce(Duration::Milliseconds(100));
    }
    return result;
  }
};

// Guards against a body of hundreds of kilobytes each second for a list that has not changed, and against an old list
// after it has.
TEST_CASE("an instance list that has not changed is not sent again") {
  Fixture f;
  REQUIRE(f.List().ok);
  for (int i = 0; i < 3; ++i) {
    const InstanceListResult same = f.List();
    REQUIRE(same.ok);
    CHECK(same.revision == 1);
    REQUIRE(same.instances.size() == 1);
    CHECK(same.instances[0].id == "p1");
  }
  CHECK(f.handler.bodies == 1);
  f.handler.tag = "\"2\"";
  f.handler.body = R"({"revision":2,"instances":[]})";
  const InstanceListResult changed = f.List();
  CHECK(changed.revision == 2);
  CHECK(changed.instances.empty());
  CHECK(f.List().revision == 2);
  CHECK(f.handler.bodies == 2);
  CHECK(f.server.open_connections() == 1);
}

// Guards against a list that is taken for confirmed when the platform is down, sends what cannot be read, or gives no
// tags.
TEST_CASE("only a platform that names the known list confirms it") {
  Fixture f;
  REQUIRE(f.List().ok);
  f.handler.status = 503;
  CHECK_FALSE(f.List().ok);
  f.handler.status = 200;
  f.handler.tag = "\"2\"";
  f.handler.body = "{";
  CHECK_FALSE(f.List().ok);
  f.handler.tag = "";
  f.handler.body = R"({"revision":3,"instances":[]})";
  CHECK(f.List().revision == 3);
  CHECK(f.List().revision == 3);
  CHECK(f.handler.asked_tags.back().empty());
  f.handler.status = 304;
  CHECK_FALSE(f.List().ok);
}

}  // namespace
}  // namespace quetzalridge
