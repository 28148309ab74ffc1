// Each part of the program that reads responses is given broken and unusual ones. What they have in common is checked
// at the HTTP client: http_client_head_test.cc and http_client_early_response_test.cc.

#include <catch2/catch.hpp>
#include <cstring>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "platform/duty_clients.h"
#include "platform/endpoint_client.h"
#include "platform/metadata_store.h"
#include "platform/permit_client.h"
#include "platform/store_transport.h"
#include "platform/wire_names.h"
#include "protocol/relay_codec.h"
#include "tests/fakes/response_reader.h"
#include "transport/http_relay_client.h"
#include "transport/http_server.h"

namespace quetzalridge::platform {
namespace {

using Callback = ResponseReader::Callback;

constexpr char kSignature[] = "x-quetzalridge-server-stamp: s\r\nx-quetzalridge-request-id: r\r\n";
// Does not fit the buffers of a connection, so that the client still writes when the response arrives.
constexpr size_t kUploadBytes = 32 << 20;

constexpr char kBody[] = "the whole body";

bool MayWrite() {
  return true;
}

// The server in place of another instance.
std::function<std::string(const std::string&)> AddressOfServer(const ReaderFixture& fixture) {
  return [address = fixture.server.address()](const std::string&) { return address; };
}

EndpointCall CallTo(const std::string& address) {
  EndpointCall call;
  call.endpoint_id = "e";
  call.address = address;
  call.host = "x.example";
  call.target = "/";
  call.request_id = "r";
  call.time_left = Duration::Seconds(5);
  call.head_timeout = Duration::Seconds(2);
  call.idle_timeout = Duration::Seconds(2);
  return call;
}

// Takes a response that ends as complete with all its parts.
class EndpointCallReader : public RelayObserver {
 public:
  EndpointCallReader(ReaderFixture* fixture, size_t parts, Callback callback)
      : m_client(&fixture->client, &fixture->loop.clock()),
        m_relay(&fixture->client, AddressOfServer(*fixture)),
        m_parts_left(parts),
        m_callback(std::move(callback)) {}

  void Begin(EndpointCall call) { m_exchange = m_client.Start(std::move(call), this); }
  void BeginThroughInstance(const EndpointCall& call) { m_exchange = m_relay.Start("other", call, this); }

  void OnAccepted() override {}
  void OnRefused(RelayRefusal) override { m_callback(false); }
  void OnHead(const EndpointResponseHead& head) override { m_has_head = head.status == kStatusOk; }
  void OnBody(std::string_view data) override { m_parts_left -= data.size(); }
  void OnEvent(const StreamEvent&) override { --m_parts_left; }
  void OnEnd(const EndpointCallResult& result) override {
    m_callback(result.outcome == EndpointCallOutcome::kComplete && m_has_head && m_parts_left == 0);
  }

 private:
  EndpointClient m_client;
  HttpRelayClient m_relay;
  // Bytes of the body, or events.
  size_t m_parts_left;
  Callback m_callback;
  bool m_has_head = false;
  std::unique_ptr<EndpointExchange> m_exchange;
};

ResponseReader PlainReader(size_t request_bytes) {
  return {"plain call",
          "200",
          kSignature,
          kBody,
          [request_bytes](ReaderFixture* fixture, Callback callback) {
            auto reader = std::make_shared<EndpointCallReader>(fixture, std::strlen(kBody), std::move(callback));
            EndpointCall call = CallTo(fixture->server.address());
            call.body = std::string(request_bytes, 'u');
            reader->Begin(std::move(call));
            return reader;
          },
          true};
}

// Items of batch jobs are read like this, too.
ResponseReader StreamReader(size_t request_bytes) {
  return {"call for events",
          "200",
          kSignature,
          "id: 1\ndata: first\n\nid: 2\ndata: second\n\n",
          [request_bytes](ReaderFixture* fixture, Callback callback) {
            auto reader = std::make_shared<EndpointCallReader>(fixture, 2, std::move(callback));
            EndpointCall call = CallTo(fixture->server.address());
            call.reads_events = true;
            call.body = std::string(request_bytes, 'u');
            reader->Begin(std::move(call));
            return reader;
          },
          true};
}

std::shared_ptr<EndpointClient> MakeEndpointClient(ReaderFixture* fixture) {
  return std::make_shared<EndpointClient>(&fixture->client, &fixture->loop.clock());
}

ResponseReader StateReader() {
  return {"state of an engine",
          "200",
          "",
          R"({"Busy":false,"Seq":2,"Models":[{"Name":"m","Version":1}]})",
          [](ReaderFixture* fixture, const Callback& callback) {
            auto client = MakeEndpointClient(fixture);
            client->ReadState("e", fixture->server.address(),
                              [callback](const EngineState& state) { callback(state.ok); });
            return client;
          },
          true};
}

ResponseReader OrderReader() {
  return {"order to an engine",
          "202",
          "",
          "accepted",
          [](ReaderFixture* fixture, const Callback& callback) {
            auto client = MakeEndpointClient(fixture);
            ModelOrder order;
            order.endpoint_id = "e";
            order.address = fixture->server.address();
            order.model = "m";
            client->Load(order, &MayWrite,
                         [callback](ModelOrderOutcome outcome) { callback(outcome == ModelOrderOutcome::kAccepted); });
            return client;
          },
          true};
}

ResponseReader ProbeReader() {
  return {"probe of an endpoint",
          "200",
          "",
          "{}",
          [](ReaderFixture* fixture, const Callback& callback) {
            auto client = MakeEndpointClient(fixture);
            client->Probe("e", fixture->server.address(), callback);
            return client;
          },
          true};
}

struct StoreClients {
  explicit StoreClients(ReaderFixture* fixture)
      : transport(&fixture->client, &fixture->loop, fixture->server.address()), store(&transport) {}
  StoreTransport transport;
  MetadataStore store;
};

constexpr char kRows[] = R"({"Rows":[{"Table":"t","part":"","Key":"k","Value":"aWQKdmFsdWU=","Ver":3}],"Ver":3})";

ResponseReader RowReader() {
  return {"rows of the store", "200", "", kRows, [](ReaderFixture* fixture, const Callback& callback) {
            auto clients = std::make_shared<StoreClients>(fixture);
            clients->store.Read({"t/k"}, [callback](const ReadResult& read) { callback(read.ok); });
            return clients;
          }};
}

ResponseReader TableReader() {
  return {"table of the store", "200", "", kRows, [](ReaderFixture* fixture, const Callback& callback) {
            auto clients = std::make_shared<StoreClients>(fixture);
            clients->store.ReadTable(
                "t", [callback](const RawRowsResult& read) { callback(read.outcome == TableReadOutcome::kServed); });
            return clients;
          }};
}

ResponseReader ChangesReader() {
  return {"changes of the store", "200", "", kRows, [](ReaderFixture* fixture, const Callback& callback) {
            auto clients = std::make_shared<StoreClients>(fixture);
            clients->store.ReadChanges("t", 1, Duration::Milliseconds(100), [callback](const RawRowsResult& read) {
              callback(read.outcome == TableReadOutcome::kServed);
            });
            return clients;
          }};
}

// Neither as done nor as not done: a broken response to a write leaves both open.
ResponseReader TransactionReader(const std::string& status, const std::string& body) {
  return {"transaction of the store, " + status, status, "", body,
          [](ReaderFixture* fixture, const Callback& callback) {
            auto clients = std::make_shared<StoreClients>(fixture);
            clients->store.Transact({"id", {{"t/k", 0}}, {{"t/k", "value"}}}, [callback](const TransactResult& result) {
              callback(result.outcome != TransactOutcome::kUnknown);
            });
            return clients;
          }};
}

// The store does not serve this instance; the server is another one that relays the call.
ResponseReader RelayedStoreReader() {
  return {"store call through another instance", "200", "x-store-outcome: whole\r\n", kRows,
          [](ReaderFixture* fixture, const Callback& callback) {
            auto clients = std::make_shared<StoreClients>(fixture);
            clients->transport.SetAddress("127.0.0.1:1");
            clients->transport.SetPeers([address = fixture->server.address()] { return std::vector{address}; });
            clients->store.Read({"t/k"}, [callback](const ReadResult& read) { callback(read.ok); });
            return clients;
          }};
}

// The instance that relays a call to the store reports what became of it.
ResponseReader StoreRelayReader() {
  return {"store call for another instance", "200", "", kRows, [](ReaderFixture* fixture, const Callback& callback) {
            struct Relay : StoreClients {
              explicit Relay(ReaderFixture* fixture) : StoreClients(fixture), server(&fixture->loop, {}, &transport) {}
              HttpServer server;
            };
            auto relay = std::make_shared<Relay>(fixture);
            HttpCall call;
            call.address = "127.0.0.1:" + std::to_string(relay->server.port());
            call.method = "POST";
            call.target = "/store";
            call.headers = {{"x-store-method", "GET"}, {"x-store-target", "/api/rows-get?Table=t&part="}};
            fixture->client.Fetch(std::move(call), [callback](const HttpResponse& response) {
              const std::string* outcome = FindHeader(response.headers, "x-store-outcome");
              callback(outcome != nullptr && *outcome == "whole");
            });
            return relay;
          }};
}

ResponseReader UsageReader(const std::string& status) {
  return {"usage report, " + status, status, "", "{}", [](ReaderFixture* fixture, const Callback& callback) {
            auto client = std::make_shared<UsageReportClient>(&fixture->client, fixture->server.address(), "i");
            client->ReportWindow({}, &MayWrite,
                                 [callback](ReportOutcome outcome) { callback(outcome != ReportOutcome::kUnknown); });
            return client;
          }};
}

ResponseReader ScalingReader(const std::string& status) {
  return {"order of endpoints, " + status, status, "", "{}", [](ReaderFixture* fixture, const Callback& callback) {
            auto client = std::make_shared<ScalingClient>(&fixture->client, fixture->server.address(), "i");
            client->OrderEndpoints({}, &MayWrite, [callback](const OrderResult& result) {
              callback(result.outcome != OrderOutcome::kUnknown);
            });
            return client;
          }};
}

ResponseReader PermitReader(const std::string& status) {
  return {"permit of another instance, " + status, status, "", "120",
          [](ReaderFixture* fixture, const Callback& callback) {
            auto client = std::make_shared<HttpPermitClient>(&fixture->client, AddressOfServer(*fixture));
            client->Ask("other", {"e", 4.0, Duration()},
                        [callback](const std::optional<PermitReply>& reply) { callback(reply.has_value()); });
            return client;
          }};
}

ResponseReader ReachabilityReader() {
  return {"reachability at another instance", "200", "", kReachedText,
          [](ReaderFixture* fixture, const Callback& callback) {
            auto client = std::make_shared<HttpRelayClient>(&fixture->client, AddressOfServer(*fixture));
            client->AskReachability("other", "e", Duration::Seconds(1), [callback](Reachability reachability) {
              callback(reachability != Reachability::kUnknown);
            });
            return client;
          }};
}

std::string RelayedResponse() {
  EndpointResponseHead head;
  head.status = kStatusOk;
  head.headers = {{kSignatureHeader, "s"}, {"!#$%&'*+-.^_`|~0", "1"}};
  EndpointCallResult result;
  result.outcome = EndpointCallOutcome::kComplete;
  return EncodeRelayFrame(RelayFrameType::kKeepAlive, "") +
         EncodeRelayFrame(RelayFrameType::kHead, EncodeResponseHead(head)) +
         EncodeRelayFrame(RelayFrameType::kBody, kBody) +
         EncodeRelayFrame(RelayFrameType::kEnd, EncodeCallResult(result));
}

ResponseReader RelayReader(const std::string& body) {
  return {"call through another instance", "200", "", body, [](ReaderFixture* fixture, Callback callback) {
            auto reader = std::make_shared<EndpointCallReader>(fixture, std::strlen(kBody), std::move(callback));
            reader->BeginThroughInstance(CallTo(fixture->server.address()));
            return reader;
          }};
}

// Guards against broken responses that reach clients, or on which the program acts.
TEST_CASE("calls to endpoints take sound responses and no broken ones") {
  CheckReader(PlainReader(0));
  CheckReader(StreamReader(0));
}

TEST_CASE("orders to engines and reads of their state take sound responses and no broken ones") {
  CheckReader(StateReader());
  CheckReader(OrderReader());
}

// A probe asks only whether anything of the endpoint arrives, so a response that is cut after its head will do.
TEST_CASE("a probe takes no response with a broken head") {
  CheckTakesAll(ProbeReader(), SoundResponses(ProbeReader()));
  CheckTakesNone(ProbeReader(), ResponsesWithBrokenHead(ProbeReader()));
}

TEST_CASE("calls to the store take sound responses and no broken ones") {
  CheckReader(RowReader());
  CheckReader(TableReader());
  CheckReader(ChangesReader());
  CheckReader(TransactionReader("200", R"({"Ver":4})"));
  CheckReader(TransactionReader("412", kRows));
  CheckReader(TransactionReader("503", "busy"));
}

TEST_CASE("calls to the store through other instances take sound responses and no broken ones") {
  CheckReader(RelayedStoreReader());
  CheckReader(StoreRelayReader());
}

TEST_CASE("usage reports and orders of endpoints take sound responses and no broken ones") {
  for (const char* status : {"200", "409", "503"}) {
    CheckReader(UsageReader(status));
    CheckReader(ScalingReader(status));
  }
}

TEST_CASE("questions to other instances take sound responses and no broken ones") {
  CheckReader(PermitReader("200"));
  CheckReader(PermitReader("429"));
  CheckReader(ReachabilityReader());
}

TEST_CASE("calls through other instances take sound responses and no broken ones") {
  const ResponseReader reader = RelayReader(RelayedResponse());
  CheckTakesAll(reader, SoundResponses(reader));
  CheckTakesNone(reader, ResponsesWithBrokenHead(reader));
  CheckTakesNone(reader, CutResponses(reader));
  // The last frame shows the end of the response.
  CheckTakesAll(reader, {UnframedResponseAndReset(reader)});
  // The HTTP response is whole, and what it holds is not.
  EventLoop loop;
  for (size_t size = 0; size < reader.body.size(); ++size) {
    INFO(size);
    const ResponseReader cut = RelayReader(reader.body.substr(0, size));
    CHECK_FALSE(Takes(&loop, cut, SoundResponses(cut)[0]));
  }
}

// Guards against a part of a body, or of a stream, that is passed on as the whole one.
TEST_CASE("a response without a length that is reset during an upload is not taken") {
  for (const ResponseReader& reader : {PlainReader(kUploadBytes), StreamReader(kUploadBytes)}) {
    CheckTakesNone(reader, CutResponses(reader));
    CheckTakesNone(reader, {UnframedResponseAndReset(reader)});
  }
}

// Guards against early responses that are refused although they are whole.
TEST_CASE("a sound response during an upload is taken") {
  for (const ResponseReader& reader : {PlainReader(kUploadBytes), StreamReader(kUploadBytes)}) {
    CheckTakesAll(reader, SoundResponses(reader));
  }
}

}  // namespace
}  // namespace quetzalridge::platform
