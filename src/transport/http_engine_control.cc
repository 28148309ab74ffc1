#include "transport/http_engine_control.h"

#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

// An engine answers when the swap is done.
constexpr Duration kSwapTimeout = Duration::Seconds(30);
constexpr size_t kMaxAnswerBytes = size_t{16} << 10;

LoadWeightsOutcome ToOutcome(const HttpResponse& response) {
  if (response.result.outcome == CallOutcome::kNotSent) {
    return LoadWeightsOutcome::kNotSent;
  }
  if (response.result.outcome != CallOutcome::kWhole) {
    return LoadWeightsOutcome::kUnknown;
  }
  switch (response.status) {
    case 200:
      return LoadWeightsOutcome::kDone;
    case 409:
      return LoadWeightsOutcome::kStale;
    default:
      return LoadWeightsOutcome::kFailed;
  }
}

}  // namespace

void HttpEngineControl::LoadWeights(const LoadWeightsCommand& order, BeforeWrite before_write, Callback callback) {
  HttpCall call;
  call.address = order.address;
  call.method = "POST";
  call.target = "/orders";
  call.headers = {{"content-type", "application/json"}};
  call.body = nlohmann::json{{"order", "load_weights"},
                             {"version", order.version},
                             {"fence", order.fencing_epoch},
                             {"holder", order.holder}}
                  .dump();
  call.head_timeout = kSwapTimeout;
  call.accepts_unframed_body = true;
  call.before_write = std::move(before_write);
  m_client->Fetch(
      std::move(call),
      [callback = std::move(callback)](const HttpResponse& response) { callback(ToOutcome(response)); },
      kMaxAnswerBytes);
}

}  // namespace quetzalridge
