#include "platform/batch_submission_reader.h"

#include <malloc.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <string>
#include <vector>

#include "base/base64.h"
#include "base/error.h"

namespace quetzalridge::platform {
namespace {

constexpr size_t kPiece = 4096;

std::string ItemText(int number, size_t body_bytes) {
  return R"({"Id":"item-)" + std::to_string(number) + R"(","Path":"/jobs/3/)" + std::to_string(number) +
         R"(","Headers":{"X-Quetzalridge-Model":"m0","X-Quetzalridge-Token-Count":"540,400"},"Body":")" +
         EncodeBase64(std::string(body_bytes, 'x')) + R"(","Tokens":940,"Group":"g)" + std::to_string(number / 8) +
         "\"}";
}

std::string JobText(int items, size_t body_bytes) {
  std::string text = R"({"Step":7,"Model":"m0","MinVersion":6,"Desired":12,"Requests":[)";
  for (int i = 0; i < items; ++i) {
    text += (i == 0 ? "" : ",") + ItemText(i, body_bytes);
  }
  return text + "]}";
}

// Memory of the process that is in use.
size_t UsedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

TEST_CASE("a submission gives the same job in pieces of any size") {
  const std::string text = JobText(50, 30) + " \n";
  for (const size_t piece : {size_t{0}, size_t{1}, size_t{100}, kPiece, std::numeric_limits<size_t>::max()}) {
    INFO("pieces of " << piece << " bytes");
    BatchSubmissionReader reader(text);
    int pieces = 1;
    while (!reader.Read(piece)) {
      ++pieces;
    }
    CHECK((piece >= kPiece || pieces >= 50));
    const BatchSpec job = reader.TakeJob();
    CHECK(job.model == "m0");
    CHECK(job.oldest_version == 6);
    CHECK(job.desired_groups == 12);
    REQUIRE(job.items.size() == 50);
    for (int i = 0; i < 50; ++i) {
      const BatchItem& item = job.items[static_cast<size_t>(i)];
      CHECK(item.id == "item-" + std::to_string(i));
      CHECK(item.body == std::string(30, 'x'));
      CHECK(item.requested_tokens == 540);
    }
  }
}

TEST_CASE("the fields of a submission may have any order, and unknown ones are skipped") {
  const std::string text = R"( { "Other" : [1, {"Requests": [null]}, -2.5e3] , "Requests" : [
      {"Later": {"Id": 7}, "Body": "YQ==", "Headers": {"X-Quetzalridge-Model": "m1", "Te": 5}, "Path": "/a",
       "Id": "\u00e9\"}", "Scorer": null} ] , "Desired":3,"Step": 12})";
  const BatchSpec job = DecodeBatchSubmission(text);
  CHECK(job.desired_groups == 3);
  CHECK(job.model == "m1");
  REQUIRE(job.items.size() == 1);
  CHECK(job.items[0].id == "\xc3\xa9\"}");
  CHECK(job.items[0].body == "a");
  CHECK_FALSE(job.items[0].reward_call.has_value());
}

// Guards against a body that is no job and takes many times its size before it is refused.
TEST_CASE("a body that is no job is refused at the first value that shows it") {
  const auto repeat = [](const std::string& text, int count) {
    std::string repeated;
    for (int i = 0; i < count; ++i) {
      repeated += text;
    }
    return repeated;
  };
  constexpr int kMany = 200'000;
  const std::vector<std::string> bodies = {
      R"({"Requests":[)" + repeat("{},", kMany),
      R"({"Requests":[)" + repeat("[],", kMany),
      R"({"Requests":[)" + repeat("0,", kMany),
      R"({"Requests":)" + repeat("[", kMany),
      R"({"Other":)" + repeat("[", kMany),
      R"({"Other":)" + repeat("{\"a\":", kMany),
      R"({"Requests":[{"Id":"a","Other":)" + repeat("[", kMany),
      repeat("[", kMany),
      R"({"Requests":[)" + ItemText(0, 10) + "," + repeat(R"({"Id":"","Path":"","Headers":[]},)", kMany),
  };
  for (const std::string& body : bodies) {
    INFO(body.substr(0, 60));
    BatchSubmissionReader reader(body);
    CHECK_THROWS_AS(reader.Read(kPiece), Error);
    CHECK(reader.job_bytes() <= kPiece);
  }
}

TEST_CASE("malformed submissions are refused") {
  const std::string item = R"({"Id":"a","Path":"/","Headers":{},"Body":"YQ=="})";
  for (const std::string& body :
       std::vector<std::string>{"",
                                " ",
                                "{",
                                "{}",
                                "[]",
                                "7",
                                "null",
                                R"({"Requests":{}})",
                                R"({"Requests":[]}x)",
                                R"({"Requests":[,]})",
                                R"({"Requests":[)" + item + "]",
                                R"({"Requests":[)" + item + ",]}",
                                R"({"Requests":[)" + item + "}",
                                R"({"Requests":[)" + item + item + "]}",
                                R"({"Requests":[)" + item + R"(],"Requests":[]})",
                                R"({"Requests":[],})",
                                R"({"Requests":[] "Step":1})",
                                R"({Requests:[]})",
                                R"({"Requests":[],"Model":7})",
                                R"({"Requests":[],"Desired":"7"})",
                                R"({"Requests":[],"MinVersion":{}})",
                                R"({"Requests":[],"Step":})",
                                R"({"Requests":[],"Step":01})",
                                R"({"Requests":[],"Step":1)",
                                R"({"Requests":[{"Id":"a","Path":"/"}]})",
                                R"({"Requests":[{"Id":7,"Path":"/","Headers":{}}]})",
                                R"({"Requests":[{"Id":"a","Path":"/","Headers":{"x":7}}]})",
                                R"({"Requests":[{"Id":"a","Path":"/","Headers":{},"Tokens":"7"}]})",
                                "{\"Requests\":[{\"Id\":\"\xff\",\"Path\":\"/\",\"Headers\":{}}]}"}) {
    INFO(body);
    CHECK_THROWS_AS(DecodeBatchSubmission(body), Error);
  }
}

// Guards against items that take more memory than they are charged with, in which case no limit holds.
TEST_CASE("a submission takes no more memory than it is charged with") {
  constexpr int kItems = 5000;
  for (const size_t body_bytes : {size_t{0}, size_t{50}, size_t{300}, size_t{2000}}) {
    INFO("bodies of " << body_bytes << " bytes");
    const size_t before = UsedBytes();
    std::string text = JobText(kItems, body_bytes);
    text.shrink_to_fit();
    const size_t text_bytes = text.size();
    BatchSubmissionReader reader(std::move(text));
    size_t peak = 0;
    while (!reader.Read(kPiece)) {
      peak = std::max(peak, UsedBytes() - before);
    }
    const BatchSpec job = reader.TakeJob();
    const size_t used = UsedBytes() - before;
    const size_t charged = reader.job_bytes();
    CHECK(used <= charged);
    // Besides the text and the items, only the growth of the list of items takes memory.
    CHECK(peak <= text_bytes + charged + 2 * kItems * sizeof(BatchItem));
  }
}

}  // namespace
}  // namespace quetzalridge::platform
