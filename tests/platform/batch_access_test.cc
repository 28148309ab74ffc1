#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "base/base64.h"
#include "tests/platform/node_cluster.h"

namespace quetzalridge::platform {
namespace {

using Json = nlohmann::json;

constexpr int kItems = 3;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr char kOwnKey[] = "key";
constexpr char kOtherKey[] = "key of sellers";

Json Route(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service) {
  return {{"Name", name},       {"Host", kHost},    {"Prefix", prefix},  {"Kind", kind},   {"TimeoutMs", 2000},
          {"Service", service}, {"MaxAttempts", 3}, {"MaxQueueS", 60.0}, {"Public", false}};
}

void Remove(Json* routes, const std::string& name) {
  for (auto it = routes->begin(); it != routes->end();) {
    it = (*it)["Name"] == name ? routes->erase(it) : std::next(it);
  }
}

std::string ItemOf(const std::string& job, int number) {
  return job + "-item-" + std::to_string(number);
}

// A cluster with a batch route and a second workspace.
class BatchCluster : public Cluster {
 public:
  BatchCluster() {
    ChangeConfig([](Json* config) {
      (*config)["Routes"].push_back(Route("batch", "/batch/", "rollout", soak::kEngineService));
      (*config)["Tenants"].push_back({{"Name", "sellers"}, {"ApiKeys", {kOtherKey}}});
    });
  }

  void AddRoute(const Json& route) {
    ChangeConfig([&route](Json* config) { (*config)["Routes"].push_back(route); });
  }
  void RemoveRoute(const std::string& name) {
    ChangeConfig([&name](Json* config) { Remove(&(*config)["Routes"], name); });
  }

  // Each function returns the status; an empty key is not sent.
  int Submit(size_t i, const std::string& job, const std::string& key) {
    Json requests = Json::array();
    for (int n = 0; n < kItems; ++n) {
      requests.push_back({{"Id", ItemOf(job, n)},
                          {"Path", "/batch/" + ItemOf(job, n)},
                          {"Headers", {{"X-Quetzalridge-Model", soak::kModel}}},
                          {"Body", EncodeBase64("body of " + ItemOf(job, n))},
                          {"Tokens", 100},
                          {"Group", "group"}});
    }
    const Json submission = {
        {"Step", 0}, {"Model", soak::kModel}, {"MinVersion", 1}, {"Desired", 1}, {"Requests", requests}};
    return Fetch(i, "POST", "/batch/" + job, Headers(key, job), submission.dump()).status;
  }
  int ReadResults(size_t i, const std::string& job, const std::string& key) {
    return Fetch(i, "GET", "/api/lots/" + job + "?After=0", Headers(key), "").status;
  }
  int ReadBody(size_t i, const std::string& job, const std::string& key) {
    const HttpResponse response = Fetch(i, "GET", "/api/items/" + job + "?Id=" + ItemOf(job, 1), Headers(key), "");
    CHECK((response.status != kStatusOk || response.body == "body of " + ItemOf(job, 1)));
    return response.status;
  }
  int End(size_t i, const std::string& job, const std::string& key) {
    return Fetch(i, "DELETE", "/api/lots/" + job, Headers(key), "").status;
  }
  // How many results of the job are listed at an instance after some seconds.
  size_t CountResults(size_t i, const std::string& job) {
    RunFor(Duration::Seconds(6));
    const HttpResponse page = Fetch(i, "GET", "/api/lots/" + job + "?After=0", Headers(kOwnKey), "");
    return page.status == kStatusOk ? Json::parse(page.body)["Results"].size() : 0;
  }

  // Callers with the workspace's key read the job at each instance, and all others neither read nor end it.
  void CheckAccess(const std::string& job) {
    for (size_t i = 0; i < 3; ++i) {
      INFO("instance " << i);
      CHECK(End(i, job, "") == kStatusUnauthorized);
      CHECK(End(i, job, kOtherKey) == kStatusNotFound);
      CHECK(ReadResults(i, job, "") == kStatusUnauthorized);
      CHECK(ReadResults(i, job, kOtherKey) == kStatusNotFound);
      CHECK(ReadBody(i, job, "") == kStatusUnauthorized);
      CHECK(ReadBody(i, job, kOtherKey) == kStatusNotFound);
      CHECK(ReadResults(i, job, kOwnKey) == kStatusOk);
      CHECK(ReadBody(i, job, kOwnKey) == kStatusOk);
    }
  }

 private:
  static HttpHeaders Headers(const std::string& key, const std::string& id = "") {
    HttpHeaders headers;
    if (!key.empty()) {
      headers.push_back({kApiKeyHeader, key});
    }
    if (!id.empty()) {
      headers.push_back({kRequestIdHeader, id});
    }
    return headers;
  }
};

// Guards against routes that hide the jobs of their host, or open them to others, because their prefix begins the path
// of the calls for jobs (review case 8).
TEST_CASE("routes with a prefix of the paths of calls for jobs do not change who may read and end a job") {
  BatchCluster cluster;
  REQUIRE(cluster.Submit(0, "job", kOwnKey) == kStatusAccepted);
  cluster.CheckAccess("job");
  for (const char* prefix : {"/", "/api/", "/api/lots/", "/api/items/"}) {
    INFO(prefix);
    Json route = Route("added", prefix, "idempotent", soak::kPlainService);
    cluster.AddRoute(route);
    cluster.CheckAccess("job");
    cluster.ChangeConfig([](Json* config) { (*config)["Routes"].back()["Public"] = true; });
    cluster.CheckAccess("job");
    cluster.ChangeConfig([](Json* config) { (*config)["Routes"].back()["Service"] = 7; });
    cluster.CheckAccess("job");
    cluster.RemoveRoute("added");
  }
  CHECK(cluster.End(1, "job", kOwnKey) == kStatusOk);
}

TEST_CASE("a job stays readable when its route becomes public, moves and is removed beside a public route") {
  BatchCluster cluster;
  REQUIRE(cluster.Submit(0, "job", kOwnKey) == kStatusAccepted);
  Json route = Route("all", "/", "stream", soak::kPlainService);
  route["Public"] = true;
  cluster.AddRoute(route);
  cluster.ChangeConfig([](Json* config) {
    for (Json& changed : (*config)["Routes"]) {
      changed["Public"] = changed["Name"] == "batch" || changed["Public"].get<bool>();
    }
  });
  cluster.CheckAccess("job");
  cluster.ChangeConfig([](Json* config) {
    Remove(&(*config)["Routes"], "batch");
    (*config)["Routes"].push_back(Route("batch", "/moved/", "rollout", soak::kEngineService));
  });
  cluster.CheckAccess("job");
  cluster.RemoveRoute("batch");
  cluster.CheckAccess("job");
  CHECK(cluster.End(2, "job", kOwnKey) == kStatusOk);
}

// Guards against a job that is accepted and that nobody can read, since it was kept without the workspace of its key.
TEST_CASE("a job that is submitted on a public route belongs to the workspace of the key") {
  for (const char* prefix : {"/batch/", "/"}) {
    INFO(prefix);
    BatchCluster cluster;
    cluster.ChangeConfig([prefix](Json* config) {
      (*config)["Routes"].back()["Public"] = true;
      (*config)["Routes"].back()["Prefix"] = prefix;
    });
    CHECK(cluster.Submit(0, "without-key", "") == kStatusUnauthorized);
    CHECK(cluster.Submit(1, "unknown-key", "no such key") == kStatusUnauthorized);
    REQUIRE(cluster.Submit(0, "job", kOwnKey) == kStatusAccepted);
    cluster.CheckAccess("job");
    // The same submission arrives again at another instance.
    CHECK(cluster.Submit(1, "job", kOwnKey) == kStatusAccepted);
    CHECK(cluster.CountResults(2, "job") == kItems);
    CHECK(cluster.ReadResults(1, "without-key", kOwnKey) == kStatusNotFound);
    CHECK(cluster.End(1, "job", kOwnKey) == kStatusOk);
  }
}

}  // namespace
}  // namespace quetzalridge::platform
