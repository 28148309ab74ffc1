#pragma once

#include <string>

namespace quetzalridge {

struct AdminResponse {
  // 0 when no whole answer came.
  int status = 0;
  // The request was written, so that it may have taken effect.
  bool request_sent = false;
  std::string body;
  std::string error_detail;
};

// Calls the admin address of one instance and waits for the answer.
class AdminClient {
 public:
  virtual ~AdminClient() = default;
  virtual AdminResponse Call(const std::string& method, const std::string& target, const std::string& body) = 0;
};

class HttpAdminClient : public AdminClient {
 public:
  HttpAdminClient(std::string address, std::string token) : m_address(std::move(address)), m_token(std::move(token)) {}
  AdminResponse Call(const std::string& method, const std::string& target, const std::string& body) override;

 private:
  std::string m_address;
  std::string m_token;
};

}  // namespace quetzalridge
