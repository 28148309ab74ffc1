#include "transport/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <vector>

#include "base/random.h"
#include "transport/http_client.h"

namespace quetzalridge {
namespace {

class EchoHandler : public HttpHandler {
 public:
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) override {
    ++requests;
    if (request.path == "/hold") {
      held = responder;
      responder->SetCloseCallback([this] { ++gone; });
      return;
    }
    responder->Send(200, {}, request.body);
  }

  int requests = 0;
  int gone = 0;
  std::shared_ptr<HttpResponder> held;
};

// A plain connection that can send anything.
class RawConnection {
 public:
  explicit RawConnection(int port) : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    fcntl(m_fd, F_SETFL, O_NONBLOCK);
  }
  ~RawConnection() { close(m_fd); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Send(const std::string& data) { send(m_fd, data.data(), data.size(), MSG_NOSIGNAL); }
  std::string Receive() {
    char buffer[65536];
    const ssize_t size = recv(m_fd, buffer, sizeof(buffer), 0);
    m_closed = m_closed || size == 0 || (size < 0 && errno == ECONNRESET);
    return size > 0 ? std::string(buffer, static_cast<size_t>(size)) : "";
  }
  int fd() const { return m_fd; }
  bool closed() const { return m_closed; }

 private:
  int m_fd;
  bool m_closed = false;
};

struct Fixture {
  explicit Fixture(const HttpServerOptions& options = {}) : server(&loop, options, &handler) {}

  bool Until(const std::function<bool()>& condition) {
    for (int turn = 0; turn < 2000 && !condition(); ++turn) {
      loop.RunOnce(Duration::Milliseconds(10));
    }
    return condition();
  }
  // Sends the pieces with pauses in between, and collects what comes until the server closes.
  std::string ReceiveUntilClosed(const std::vector<std::string>& pieces, Duration pause = Duration()) {
    RawConnection connection(server.port());
    std::string answer;
    size_t sent = 0;
    TimePoint next = loop.clock().Now();
    REQUIRE(Until([&] {
      if (sent < pieces.size() && loop.clock().Now() >= next) {
        connection.Send(pieces[sent++]);
        next = loop.clock().Now() + pause;
      }
      answer += connection.Receive();
      return connection.closed();
    }));
    return answer;
  }
  std::string Exchange(const std::string& data) {
    RawConnection connection(server.port());
    connection.Send(data);
    std::string answer;
    Until([&] {
      answer += connection.Receive();
      return answer.find("\r\n\r\n") != std::string::npos;
    });
    for (int turn = 0; turn < 3; ++turn) {
      loop.RunOnce(Duration::Milliseconds(5));
      answer += connection.Receive();
    }
    return answer;
  }

  EventLoop loop;
  EchoHandler handler;
  HttpServer server;
};

// Guards against refusals of the HTTP library that callers cannot read as typed errors.
TEST_CASE("a body over the limit is refused with the typed error") {
  HttpServerOptions options;
  options.max_body_bytes = 100;
  Fixture f(options);
  for (const char* framing : {"content-length: 200\r\n\r\n", "transfer-encoding: chunked\r\n\r\nff\r\n"}) {
    const std::string answer =
        f.Exchange("POST / HTTP/1.1\r\nhost: x\r\n" + std::string(framing) + std::string(200, 'x'));
    INFO(answer);
    CHECK(answer.find("413") != std::string::npos);
    CHECK(answer.find("application/json") != std::string::npos);
    CHECK(answer.find("\"code\":\"payload_too_large\"") != std::string::npos);
    CHECK(answer.find("\"ran\":\"no\"") != std::string::npos);
  }
  CHECK(f.handler.requests == 0);
}

struct RefusedCase {
  std::string name;
  std::string request;
  std::string status;
  // Empty where the HTTP library answers by itself.
  std::string code;
};

std::vector<RefusedCase> RefusedCases() {
  const std::string post = "POST / HTTP/1.1\r\nhost: x\r\n";
  std::string many_headers = "GET / HTTP/1.1\r\nhost: x\r\n";
  for (int i = 0; i < 150; ++i) {
    many_headers += "a" + std::to_string(i) + ": b\r\n";
  }
  return {
      {"not HTTP", "hello world\r\n\r\n", "400", ""},
      {"malformed header", "GET / HTTP/1.1\r\nho st x\r\n\r\n", "400", ""},
      {"too many headers", many_headers + "\r\n", "400", ""},
      {"head over the limit", "GET / HTTP/1.1\r\nhost: x\r\na: " + std::string(2000, 'y') + "\r\n\r\n", "413",
       "payload_too_large"},
      {"length is not a number", post + "content-length: abc\r\n\r\nabc", "400", "invalid_request"},
      {"negative length", post + "content-length: -3\r\n\r\nabc", "400", "invalid_request"},
      {"unknown transfer encoding", post + "transfer-encoding: gzip\r\n\r\nabc", "400", "invalid_request"},
      {"malformed chunk", post + "transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n", "400", "invalid_request"},
      {"half a head", "GET / HTTP/1.1\r\nho", "408", "request_timeout"},
      {"length longer than the body", post + "content-length: 10\r\n\r\nabc", "408", "request_timeout"},
      {"half a chunk", post + "transfer-encoding: chunked\r\n\r\n5\r\nab", "408", "request_timeout"},
  };
}

// Guards against refusals that a caller cannot read, and against malformed requests that are run.
TEST_CASE("malformed, large and late requests are refused as not run") {
  HttpServerOptions options;
  options.max_head_bytes = 1500;
  options.request_timeout = Duration::Milliseconds(300);
  Fixture f(options);
  for (const RefusedCase& refused : RefusedCases()) {
    const std::string answer = f.ReceiveUntilClosed({refused.request});
    INFO(refused.name << ": " << answer);
    CHECK(answer.find("HTTP/1.1 " + refused.status) == 0);
    if (!refused.code.empty()) {
      CHECK(answer.find("application/json") != std::string::npos);
      CHECK(answer.find("\"code\":\"" + refused.code + "\"") != std::string::npos);
      CHECK(answer.find("\"ran\":\"no\"") != std::string::npos);
    }
  }
  CHECK(f.handler.requests == 0);
}

// Guards against senders that hold a connection for ever by sending a byte now and then, and against a request that is
// run after its caller was told that it was not.
TEST_CASE("a request that trickles in is refused as a whole") {
  HttpServerOptions options;
  options.request_timeout = Duration::Milliseconds(300);
  Fixture f(options);
  const std::string head = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\n";
  for (const std::string& start : {std::string(), head}) {
    std::vector<std::string> pieces = {start};
    for (const char byte : start.empty() ? head + "12345678" : std::string("12345678")) {
      pieces.emplace_back(1, byte);
    }
    const std::string answer = f.ReceiveUntilClosed(pieces, Duration::Milliseconds(60));
    INFO(answer);
    CHECK(answer.find("HTTP/1.1 408") == 0);
    CHECK(answer.find("\"code\":\"request_timeout\"") != std::string::npos);
  }
  CHECK(f.handler.requests == 0);
}

// Guards against an answer to no request, which a caller could take for that to its next one.
TEST_CASE("idle connections are closed without an answer and disturb nobody") {
  constexpr int kIdle = 200;
  HttpServerOptions options;
  options.request_timeout = Duration::Milliseconds(500);
  Fixture f(options);
  std::vector<std::unique_ptr<RawConnection>> idle;
  for (int i = 0; i < kIdle; ++i) {
    idle.push_back(std::make_unique<RawConnection>(f.server.port()));
    if (i % 50 == 0) {
      f.loop.RunOnce(Duration());
    }
  }
  // Half of them have had an answer.
  std::string answers;
  for (int i = 0; i < kIdle; i += 2) {
    idle[i]->Send("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
  }
  REQUIRE(f.Until([&] { return f.handler.requests == kIdle / 2; }));
  const std::string whole = f.Exchange("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nwhole");
  CHECK(whole.find("whole") != std::string::npos);
  REQUIRE(f.Until([&] { return f.server.open_connections() == 0; }));
  for (int i = 0; i < kIdle; ++i) {
    const std::string received = idle[i]->Receive();
    const bool was_answered = i % 2 == 0;
    CHECK((received.find("HTTP/1.1 200") == 0) == was_answered);
    CHECK(received.find("408") == std::string::npos);
  }
}

// Guards against a deadline that ends a request while its answer is due, or that is not renewed after an answer.
TEST_CASE("the deadline counts only while a request is awaited") {
  HttpServerOptions options;
  options.request_timeout = Duration::Milliseconds(200);
  Fixture f(options);
  RawConnection connection(f.server.port());
  connection.Send("GET /hold HTTP/1.1\r\nhost: x\r\n\r\n");
  REQUIRE(f.Until([&] { return f.handler.requests == 1; }));
  const TimePoint waited = f.loop.clock().Now() + options.request_timeout * 3;
  f.Until([&] { return f.loop.clock().Now() >= waited; });
  f.handler.held->Send(200, {}, "held");
  std::string answer;
  REQUIRE(f.Until([&] {
    answer += connection.Receive();
    return answer.find("held") != std::string::npos;
  }));
  connection.Send("GET /hold HTTP/1.1\r\nhost: x\r\n\r\n");
  REQUIRE(f.Until([&] { return f.handler.requests == 2; }));
}

// Guards against work that goes on for a caller that has closed its connection while it waited.
TEST_CASE("a caller that closes while it waits is noticed") {
  Fixture f;
  {
    RawConnection connection(f.server.port());
    connection.Send("GET /hold HTTP/1.1\r\nhost: x\r\n\r\n");
    REQUIRE(f.Until([&] { return f.handler.requests == 1; }));
    for (int turn = 0; turn < 40; ++turn) {
      f.loop.RunOnce(Duration::Milliseconds(10));
    }
    CHECK(f.handler.gone == 0);
  }
  REQUIRE(f.Until([&] { return f.handler.gone == 1 && f.server.open_connections() == 0; }));
  CHECK(f.handler.held->closed());
}

// Guards against a server that crashes, hangs or mixes up requests after malformed bytes.
TEST_CASE("mutated requests leave the server in order") {
  Fixture f;
  const std::string inputs[] = {
      "POST /a?b HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\nx-api-key: k\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      "GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET /b HTTP/1.1\r\nhost: x\r\n\r\n"};
  Random random(23);
  for (int round = 0; round < 400; ++round) {
    std::string text = inputs[random.Below(3)];
    for (uint64_t change = 1 + random.Below(4); change > 0; --change) {
      const size_t at = random.Below(text.size());
      if (random.Chance(0.5)) {
        text[at] = static_cast<char>(random.Below(256));
      } else {
        text.insert(at, 1, "\r\n :0fF\0x"[random.Below(8)]);
      }
    }
    RawConnection connection(f.server.port());
    const size_t cut = random.Below(text.size());
    connection.Send(text.substr(0, cut));
    f.loop.RunOnce(Duration());
    connection.Send(text.substr(cut));
    f.loop.RunOnce(Duration());
  }
  const std::string answer =
      f.Exchange("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\nconnection: close\r\n\r\nwhole");
  CHECK(answer.find("200") != std::string::npos);
  CHECK(answer.find("whole") != std::string::npos);
}

// Writes a key and a certificate that it signs itself.
void WriteCertificate(const std::string& name, const std::string& certificate_file, const std::string& key_file) {
  EVP_PKEY* key = EVP_EC_gen("P-256");
  X509* certificate = X509_new();
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
  X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
  X509_set_pubkey(certificate, key);
  X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  X509_set_issuer_name(certificate, X509_get_subject_name(certificate));
  X509_sign(certificate, key, EVP_sha256());
  FILE* file = std::fopen(certificate_file.c_str(), "w");
  PEM_write_X509(file, certificate);
  std::fclose(file);
  file = std::fopen(key_file.c_str(), "w");
  PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(file);
  X509_free(certificate);
  EVP_PKEY_free(key);
}

// The name in the certificate that a new connection gets.
std::string ServedName(Fixture* f) {
  RawConnection connection(f->server.port());
  SSL_CTX* context = SSL_CTX_new(TLS_client_method());
  SSL* ssl = SSL_new(context);
  SSL_set_fd(ssl, connection.fd());
  const bool connected = f->Until([&] { return SSL_connect(ssl) == 1; });
  std::string name;
  X509* certificate = connected ? SSL_get1_peer_certificate(ssl) : nullptr;
  if (certificate != nullptr) {
    char text[64] = {};
    X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, text, sizeof(text));
    name = text;
    X509_free(certificate);
  }
  SSL_free(ssl);
  SSL_CTX_free(context);
  return name;
}

// Guards against a reload that needs a restart, or that leaves the server without a usable certificate.
TEST_CASE("a certificate is reloaded, and a broken one leaves the old one in use") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("quetzalridge_tls_" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  HttpServerOptions options;
  options.tls_certificate_file = folder / "certificate.pem";
  options.tls_key_file = folder / "key.pem";
  WriteCertificate("first", options.tls_certificate_file, options.tls_key_file);
  Fixture f(options);
  CHECK(ServedName(&f) == "first");
  WriteCertificate("second", options.tls_certificate_file, options.tls_key_file);
  CHECK(f.server.ReloadTls());
  CHECK(ServedName(&f) == "second");
  WriteCertificate("third", options.tls_certificate_file, folder / "other_key.pem");
  CHECK_FALSE(f.server.ReloadTls());
  CHECK(ServedName(&f) == "second");
  std::filesystem::remove_all(folder);
}

// Guards against limits that hold for plain connections only.
TEST_CASE("requests over TLS are served, charged, and closed when they are late") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("quetzalridge_tls_limits_" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  MemoryBudget memory(2 << 20);
  HttpServerOptions options;
  options.tls_certificate_file = folder / "certificate.pem";
  options.tls_key_file = folder / "key.pem";
  options.memory = &memory;
  options.head_timeout = Duration::Milliseconds(300);
  WriteCertificate("first", options.tls_certificate_file, options.tls_key_file);
  Fixture f(options);
  RawConnection connection(f.server.port());
  SSL_CTX* context = SSL_CTX_new(TLS_client_method());
  SSL* ssl = SSL_new(context);
  SSL_set_fd(ssl, connection.fd());
  REQUIRE(f.Until([&] { return SSL_connect(ssl) == 1; }));
  const auto send_all = [&](const std::string& text) {
    size_t sent = 0;
    return f.Until([&] {
      const int size = SSL_write(ssl, text.data() + sent, static_cast<int>(std::min<size_t>(text.size() - sent, 4096)));
      sent += size > 0 ? static_cast<size_t>(size) : 0;
      return sent == text.size();
    });
  };
  constexpr size_t kBodyBytes = 300'000;
  const std::string head = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
  for (int request = 1; request <= 2; ++request) {
    REQUIRE(send_all(head + std::string(kBodyBytes - 1, 'x')));
    REQUIRE(f.Until([&] { return memory.used() >= kBodyBytes; }));
    REQUIRE(send_all("y"));
    std::string answer;
    REQUIRE(f.Until([&] {
      char buffer[16384];
      const int size = SSL_read(ssl, buffer, sizeof(buffer));
      answer.append(buffer, size > 0 ? static_cast<size_t>(size) : 0);
      return answer.size() > kBodyBytes && answer.back() == 'y';
    }));
    CHECK(answer.find("HTTP/1.1 200") == 0);
    REQUIRE(f.Until([&] { return memory.used() == 0; }));
  }
  REQUIRE(send_all("GET / HTTP/1.1\r\nho"));
  REQUIRE(f.Until([&] { return f.server.open_connections() == 0; }));
  CHECK(f.server.counts().late_requests == 1);
  SSL_free(ssl);
  SSL_CTX_free(context);
  std::filesystem::remove_all(folder);
}

// Overwrites freed memory of the sizes that a server may have had.
std::vector<std::vector<char>> ReuseFreedMemory() {
  constexpr size_t kMaxBytes = 8192;
  constexpr int kBlocksPerSize = 4;
  std::vector<std::vector<char>> blocks;
  for (size_t size = 16; size <= kMaxBytes; size += 16) {
    for (int i = 0; i < kBlocksPerSize; ++i) {
      blocks.emplace_back(size - 8, static_cast<char>(0xa5));
    }
  }
  return blocks;
}

// Guards against memory of a server that its loop and its connections go on to use.
TEST_CASE("a server can be destroyed while its loop and its connections go on") {
  EventLoop loop;
  EchoHandler handler;
  const auto run = [&loop] {
    for (int turn = 0; turn < 20; ++turn) {
      loop.RunOnce(Duration::Milliseconds(2));
    }
  };
  auto server = std::make_unique<HttpServer>(&loop, HttpServerOptions(), &handler);
  RawConnection idle(server->port());
  RawConnection waiting(server->port());
  RawConnection unfinished(server->port());
  const std::string request = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
  idle.Send(request);
  waiting.Send("POST /hold HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n");
  unfinished.Send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab");
  run();
  REQUIRE(handler.requests == 2);
  REQUIRE(handler.held != nullptr);
  REQUIRE(idle.Receive().rfind("HTTP/1.1 200", 0) == 0);

  server.reset();
  const std::vector<std::vector<char>> blocks = ReuseFreedMemory();
  run();
  idle.Send(request);
  unfinished.Send("cde");
  handler.held->Send(200, {}, "late");
  run();
  // No handler is called any more; a response that was due arrives.
  CHECK(handler.requests == 2);
  CHECK(waiting.Receive().rfind("HTTP/1.1 200", 0) == 0);
  CHECK(idle.Receive().rfind("HTTP/1.1 200", 0) != 0);
  CHECK(unfinished.Receive().rfind("HTTP/1.1 200", 0) != 0);
}

}  // namespace
}  // namespace quetzalridge
