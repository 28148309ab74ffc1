#include "daemon/component_options.h"

#include "base/hash.h"
#include "base/ip_port.h"

namespace quetzalridge {

namespace {

// Kernel buffer of each direction of a connection; the kernel doubles it. Bounds what one read can add to the memory of
// a request, and what is kept for a client that does not read.
constexpr int kSocketBufferBytes = 128 << 10;

// LoadSettings has validated the address, so ParseIpPort returns a value.
HttpServerOptions MakeServerOptions(const std::string& address, const Settings& settings, MemoryBudget* memory) {
  const IpPort ip_port = ParseIpPort(address).value();
  HttpServerOptions options;
  options.ip = ip_port.ip;
  options.port = ip_port.port;
  options.max_body_bytes = settings.limits.max_body_bytes;
  options.max_head_bytes = settings.limits.max_head_bytes;
  options.request_timeout = settings.limits.request_read_timeout;
  options.response_piece_timeout = settings.limits.response_piece_timeout;
  options.memory = memory;
  options.handled_body_copies = kDaemonBodyCopies;
  options.socket_buffer_bytes = kSocketBufferBytes;
  return options;
}

}  // namespace

PlatformClientOptions MakePlatformClientOptions(const Settings& settings) {
  PlatformClientOptions options;
  options.address = settings.platform.address;
  options.request_timeout = settings.timing.platform_request_timeout;
  return options;
}

ConfigLogOptions MakeConfigLogOptions(const Settings& settings, const std::string& incarnation) {
  ConfigLogOptions options;
  options.poll_interval = settings.timing.config_poll;
  options.permission_validity = settings.timing.permission;
  options.accept_wait = settings.timing.accept_wait;
  options.incarnation = incarnation;
  return options;
}

DispatcherOptions MakeDispatcherOptions(const Settings& settings, const Mechanisms& mechanisms) {
  DispatcherOptions options;
  options.mechanisms = mechanisms;
  options.zone = settings.instance.zone;
  options.connect_timeout = settings.limits.connect_timeout;
  options.first_token_timeout = settings.limits.first_token_timeout;
  options.token_gap_timeout = settings.limits.token_gap_timeout;
  options.total_timeout = settings.limits.total_timeout;
  return options;
}

Location MakeLocation(const Settings& settings) {
  return {settings.instance.latitude, settings.instance.longitude};
}

HttpServerOptions MakeAdminServerOptions(const Settings& settings, const ClientLimits& limits, MemoryBudget* memory) {
  HttpServerOptions options = MakeServerOptions(settings.listen.admin, settings, memory);
  options.max_connections = limits.other_connections;
  return options;
}

HttpServerOptions MakeCallerServerOptions(const Settings& settings, const ClientLimits& limits, MemoryBudget* memory) {
  HttpServerOptions options = MakeServerOptions(settings.listen.caller, settings, memory);
  options.max_connections = limits.caller_connections;
  options.tls_certificate_file = settings.listen.tls_certificate;
  options.tls_key_file = settings.listen.tls_key;
  return options;
}

RosterOptions MakeRosterOptions(const Settings& settings, const std::string& incarnation) {
  RosterOptions options;
  options.instance = settings.instance.id;
  options.incarnation = incarnation;
  options.zone = settings.instance.zone;
  options.peer_address = settings.listen.peer;
  return options;
}

MembershipOptions MakeMembershipOptions(const Settings& settings, const std::string& incarnation) {
  MembershipOptions options;
  options.instance = settings.instance.id;
  options.incarnation = incarnation;
  options.status_interval = settings.timing.peer_interval;
  options.permission_validity = settings.timing.permission;
  options.seed = Hash64(incarnation);
  return options;
}

DutyManagerOptions MakeDutyManagerOptions(const Settings& settings, const std::string& incarnation) {
  DutyManagerOptions options;
  options.lease.time_to_live = settings.timing.lease_ttl;
  options.lease.request_timeout = settings.timing.platform_request_timeout;
  options.lease.takeover_wait = settings.timing.lease_ttl + settings.timing.platform_request_timeout;
  options.lease.holder = settings.instance.id + "/" + incarnation;
  options.renewal = settings.timing.lease_renewal;
  return options;
}

OrderDutyOptions MakeOrderDutyOptions(const Settings& settings) {
  OrderDutyOptions options;
  options.request_timeout = settings.timing.platform_request_timeout;
  return options;
}

UsageDutyOptions MakeUsageDutyOptions(const Settings& settings) {
  UsageDutyOptions options;
  options.window_length = settings.timing.usage_window;
  options.grace = settings.timing.usage_grace;
  options.request_timeout = settings.timing.platform_request_timeout;
  return options;
}

CleanupOptions MakeCleanupOptions(const Settings& settings) {
  CleanupOptions options;
  options.retention = settings.cleanup.retention;
  options.rows_per_second = settings.cleanup.rows_per_second;
  options.request_timeout = settings.timing.platform_request_timeout;
  return options;
}

UsageRecorderOptions MakeUsageRecorderOptions(const Settings& settings, const std::string& incarnation) {
  return {settings.instance.id + "-" + incarnation, settings.timing.usage_window, settings.timing.usage_flush};
}

}  // namespace quetzalridge
