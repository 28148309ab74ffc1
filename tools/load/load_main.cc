#include <cstdio>
#include <exception>
#include <memory>
#include <vector>

#include "tools/load/fault_schedule.h"
#include "tools/load/interactive_load.h"
#include "tools/load/latency_mode.h"
#include "tools/load/load_context.h"
#include "tools/load/trainer_load.h"

namespace quetzalridge {

namespace {

constexpr Duration kTurn = Duration::Milliseconds(50);
// Steps and requests that began in time may end later.
constexpr double kDrainSeconds = 60.0;

const std::vector<ProgramOption>& LoadOptions() {
  static const std::vector<ProgramOption> kOptions = {
      {"mode", "run", "'run' for mixed load, 'latency' for a fixed rate to the first address"},
      {"addresses", "127.0.0.1:8080", "caller addresses of the instances, separated by commas"},
      {"keys", "", "<workspace>=<key>, separated by commas; the first workspace owns the queue"},
      {"seed", "1", "seed of times, callers and identities"},
      {"seconds", "10", "length of the run"},
      {"rate", "50", "interactive requests per second in the quiet hour, or the fixed rate"},
      {"peak-rate", "150", "interactive requests per second at the peak"},
      {"day-seconds", "60", "length of the compressed day"},
      {"model", "default", "model field, which selects the route"},
      {"path", "/v1/completions", "target of the latency mode"},
      {"tokens", "8", "tokens of each answer and sample"},
      {"trainers", "0", "number of trainers"},
      {"queue", "default", "rollout queue of the trainers"},
      {"service", "default", "service whose weights the trainers publish"},
      {"platform", "", "address of the platform, to publish weights"},
      {"groups", "8", "groups of a step"},
      {"samples", "4", "samples of a group"},
      {"needed", "4", "samples of a group that are delivered"},
      {"train-ms", "1000", "time of training between two steps"},
      {"fault-schedule", "", "file with lines <second> <address> <faults as JSON>"},
      {"csv", "", "output file; standard output when empty"},
  };
  return kOptions;
}

std::vector<WorkspaceKey> ReadKeys(const ProgramOptions& options) {
  std::vector<WorkspaceKey> keys;
  for (const std::string& pair : options.List("keys")) {
    const size_t equals = pair.find('=');
    keys.push_back({pair.substr(0, equals), equals == std::string::npos ? "" : pair.substr(equals + 1)});
  }
  return keys;
}

int RunMixed(LoadContext* context) {
  std::fprintf(context->csv,
               "kind,second,workspace_or_trainer,sent_or_step,ok_or_samples,not_run_or_retries,unknown,p50_or_wait_ms,"
               "p99_ms,staleness,detail\n");
  const FaultSchedule faults(context);
  InteractiveLoad interactive(context);
  interactive.Start();
  std::vector<std::unique_ptr<TrainerLoad>> trainers;
  for (int i = 0; i < context->options->Number("trainers"); ++i) {
    trainers.push_back(std::make_unique<TrainerLoad>(context, i));
    trainers.back()->Start();
  }
  const auto seconds = static_cast<double>(context->options->Number("seconds"));
  const auto is_busy = [&] {
    bool busy = interactive.in_flight() > 0;
    for (const auto& trainer : trainers) {
      busy = busy || trainer->in_step();
    }
    return busy;
  };
  while (context->Seconds() < seconds || (is_busy() && context->Seconds() < seconds + kDrainSeconds)) {
    context->loop->RunOnce(kTurn);
  }
  std::fflush(context->csv);
  if (is_busy()) {
    std::fprintf(stderr, "some requests or steps did not end within %.0f s after the run\n", kDrainSeconds);
    return 1;
  }
  return 0;
}

int Run(int argc, char** argv) {
  const ProgramOptions options(argc, argv, LoadOptions());
  EventLoop loop;
  HttpClient client(&loop);
  Random random(static_cast<uint64_t>(options.Number("seed")));
  const std::string& file = options.Text("csv");
  std::FILE* csv = file.empty() ? stdout : std::fopen(file.c_str(), "w");
  if (csv == nullptr) {
    std::fprintf(stderr, "cannot write %s; give a file in a writable folder\n", file.c_str());
    return 2;
  }
  LoadContext context{&loop, &client,           &random, &options, options.List("addresses"), ReadKeys(options),
                      csv,   loop.clock().Now()};
  if (context.addresses.empty()) {
    std::fprintf(stderr, "no address to send to; give --addresses\n");
    return 2;
  }
  if (options.Text("mode") == "latency") {
    return LatencyMode(&context).Run() ? 0 : 1;
  }
  if (context.keys.empty()) {
    std::fprintf(stderr, "no workspace to send as; give --keys <workspace>=<key>\n");
    return 2;
  }
  return RunMixed(&context);
}

}  // namespace

}  // namespace quetzalridge

int main(int argc, char** argv) {
  try {
    return quetzalridge::Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
