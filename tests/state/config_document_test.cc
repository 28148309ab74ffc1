#include "state/config_document.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/random.h"

namespace quetzalridge {
namespace {

void Put(ConfigDocument* document, ConfigKind kind, const std::string& name, const std::string& value) {
  document->Apply({document->version() + 1, kind, name, value});
}

ConfigDocument Sample() {
  ConfigDocument document;
  Put(&document, ConfigKind::kWorkspace, "w", R"({"share": 2})");
  Put(&document, ConfigKind::kProfile, "p", R"({"staleness_bound": 3})");
  Put(&document, ConfigKind::kService, "s", R"({"profile": "p"})");
  Put(&document, ConfigKind::kRoute, "r", R"({"service": "s", "idempotent": false})");
  Put(&document, ConfigKind::kKey, "digest", R"({"workspace": "w"})");
  return document;
}

// Guards against entries that are lost or changed when a snapshot is written or read.
TEST_CASE("a document is the same after conversion to a snapshot and back") {
  const ConfigDocument document = Sample();
  const ConfigDocument copy = ConfigDocument::FromJson(document.ToJson());
  CHECK(copy.ToJson() == document.ToJson());
  CHECK(copy.version() == 5);
  CHECK_FALSE(copy.routes().at("r").idempotent);
}

// Guards against a profile whose handling of stragglers is lost in a snapshot, or is replaced by the default without an
// error when its name is unknown.
TEST_CASE("a profile names how stragglers are handled") {
  ConfigDocument document = Sample();
  CHECK(document.profiles().at("p").stragglers == StragglerHandling::kResume);
  for (const char* name : {"second_copy", "surplus", "resume"}) {
    Put(&document, ConfigKind::kProfile, "p", std::string(R"({"stragglers": ")") + name + "\"}");
    const ConfigDocument copy = ConfigDocument::FromJson(document.ToJson());
    CHECK(StragglerHandlingName(copy.profiles().at("p").stragglers) == name);
  }
  CHECK_THROWS_AS(Put(&document, ConfigKind::kProfile, "p", R"({"stragglers": "none"})"), Error);
  CHECK_THROWS_AS(Put(&document, ConfigKind::kProfile, "p", R"({"stragglers": 1})"), Error);
}

// Guards against changes that are applied twice, out of order, or only in part.
TEST_CASE("rejected changes leave the document unchanged") {
  ConfigDocument document = Sample();
  const std::string before = document.ToJson();
  const ConfigChange refused[] = {
      {5, ConfigKind::kWorkspace, "w", "{}"},
      {7, ConfigKind::kWorkspace, "w", "{}"},
      {6, ConfigKind::kWorkspace, "w", R"({"shares": 1})"},
      {6, ConfigKind::kWorkspace, "w", R"({"share": "much"})"},
      {6, ConfigKind::kWorkspace, "w", R"({"share": -1})"},
      {6, ConfigKind::kWorkspace, "", "{}"},
      {6, ConfigKind::kWorkspace, "a/b", "{}"},
      {6, ConfigKind::kWorkspace, "w", "not json"},
      {6, ConfigKind::kWorkspace, "w", std::nullopt},
      {6, ConfigKind::kService, "t", R"({"profile": "missing"})"},
      {6, ConfigKind::kEndpoint, "e", R"({"service": "s", "zone": "z", "address": "engine:8000"})"},
      {6, ConfigKind::kEndpoint, "e", R"({"service": "s", "zone": "z", "address": "127.0.0.1:0"})"},
      {6, ConfigKind::kProfile, "p", std::nullopt},
      {6, ConfigKind::kKey, "none", std::nullopt},
  };
  for (const ConfigChange& change : refused) {
    CHECK_THROWS_AS(document.Apply(change), Error);
    CHECK(document.ToJson() == before);
  }
}

// Guards against a withdrawn API key that stays in the document.
TEST_CASE("an entry can be deleted when nothing refers to it") {
  ConfigDocument document = Sample();
  document.Apply({6, ConfigKind::kKey, "digest", std::nullopt});
  document.Apply({7, ConfigKind::kWorkspace, "w", std::nullopt});
  CHECK(document.keys().empty());
  CHECK(document.workspaces().empty());
}

// Guards against a crash on a malformed value or snapshot. Every input must either be applied or throw Error.
TEST_CASE("randomly changed values are applied or throw Error") {
  Random random(7);
  const std::string seedText = Sample().ToJson();
  for (int round = 0; round < 3000; ++round) {
    std::string text = seedText;
    for (int i = 0; i < 4; ++i) {
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    }
    try {
      ConfigDocument::FromJson(text);
    } catch (const Error&) {
    }
    ConfigDocument document = Sample();
    try {
      document.Apply({6, static_cast<ConfigKind>(random.Below(8)), "n", text.substr(random.Below(text.size()))});
    } catch (const Error&) {
    }
  }
  SUCCEED();
}

}  // namespace
}  // namespace quetzalridge
