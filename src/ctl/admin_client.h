#pragma once

#include <string>

namespace quetzalridge {

// Response of an instance to a request of the admin API, or the reason why there is none.
struct AdminResponse {
  // HTTP status; 0 if no complete response arrived.
  int status = 0;
  // True if the request was written to the connection, at least in part, and so may have taken effect.
  bool request_sent = false;
  std::string body;
  // Why no complete response arrived.
  std::string error_detail;
};

// Sends requests to the admin API of one instance.
class AdminClient {
 public:
  virtual ~AdminClient() = default;
  // Sends one request and waits for the response or the timeout. `target` is the path and query.
  virtual AdminResponse Call(const std::string& method, const std::string& target, const std::string& body) = 0;
};

// Connects to the admin address of the instance for each request.
class HttpAdminClient : public AdminClient {
 public:
  // `address` is "ip:port". `token` is sent as a bearer token; if it is empty, no authorization header is sent.
  HttpAdminClient(std::string address, std::string token) : m_address(std::move(address)), m_token(std::move(token)) {}
  AdminResponse Call(const std::string& method, const std::string& target, const std::string& body) override;

 private:
  std::string m_address;
  std::string m_token;
};

}  // namespace quetzalridge
