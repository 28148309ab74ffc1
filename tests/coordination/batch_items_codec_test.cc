#include "coordination/batch_items_codec.h"

#include <catch2/catch.hpp>
#include <string>

namespace quetzalridge {
namespace {

std::vector<BatchItem> MakeItems(int count) {
  std::vector<BatchItem> items;
  for (int i = 0; i < count; ++i) {
    BatchItem item;
    item.id = "item-" + std::to_string(i);
    item.target = "/jobs/" + std::to_string(i);
    item.headers.Add("x-a", std::string("a\0b", 3));
    item.headers.Add("x-empty", "");
    item.body = std::string(static_cast<size_t>(i % 7) * 100, static_cast<char>(i));
    item.group = "group-" + std::to_string(i / 4);
    item.length_hint = i;
    items.push_back(item);
  }
  return items;
}

void CheckSame(const std::vector<BatchItem>& items, const std::vector<BatchItem>& expected) {
  REQUIRE(items.size() == expected.size());
  for (size_t i = 0; i < items.size(); ++i) {
    CHECK(items[i].id == expected[i].id);
    CHECK(items[i].target == expected[i].target);
    CHECK(items[i].body == expected[i].body);
    CHECK(items[i].group == expected[i].group);
    CHECK(items[i].length_hint == expected[i].length_hint);
    CHECK(items[i].requested_tokens == expected[i].requested_tokens);
    const HttpHeaders headers = items[i].headers.Unpack();
    REQUIRE(headers.size() == 2);
    CHECK(headers[0].value == std::string("a\0b", 3));
    CHECK(headers[1].name == "x-empty");
    REQUIRE(items[i].reward_call.has_value() == expected[i].reward_call.has_value());
    if (items[i].reward_call.has_value()) {
      CHECK(items[i].reward_call->body == expected[i].reward_call->body);
    }
  }
}

// Guards against a text that depends on the sizes of the pieces in which it is made or read.
TEST_CASE("items are encoded and decoded in pieces of any size") {
  for (const bool has_calls : {false, true}) {
    for (const bool has_tokens : {false, true}) {
      std::vector<BatchItem> items = MakeItems(20);
      if (has_calls) {
        items[3].reward_call = RewardCall{"c", "h", "/t", "scored"};
        items[19].reward_call = RewardCall{"d", "h", "/t", ""};
      }
      items[5].requested_tokens = has_tokens ? 940 : 0;
      const std::string whole = EncodeBatchItems(items);
      for (const size_t piece : {size_t{1}, size_t{7}, size_t{100}, whole.size()}) {
        INFO("pieces of " << piece << " bytes");
        BatchItemsEncoder encoder(&items);
        BatchItemsDecoder decoder;
        std::string encoded;
        while (!encoder.done()) {
          const std::string next = encoder.Next(piece);
          CHECK(next.size() <= piece);
          encoded += next;
          decoder.Add(next);
        }
        CHECK(encoded == whole);
        const std::optional<std::vector<BatchItem>> decoded = decoder.Finish();
        REQUIRE(decoded.has_value());
        CheckSame(*decoded, items);
      }
      BatchItemsDecoder one("item-7");
      one.Add(whole);
      const std::optional<std::vector<BatchItem>> only = one.Finish();
      REQUIRE(only.has_value());
      CheckSame(*only, {items[7]});
    }
  }
}

// Guards against items that are taken for all of a job though rows are missing.
TEST_CASE("a text of items that is not whole is rejected") {
  std::vector<BatchItem> items = MakeItems(3);
  items[2].requested_tokens = 5;
  const std::string whole = EncodeBatchItems(items);
  items[2].requested_tokens = 0;
  const size_t items_only = EncodeBatchItems(items).size();
  for (size_t size = 0; size < whole.size(); ++size) {
    INFO(size << " of " << whole.size() << " bytes");
    // Earlier versions have stored the items alone, or without token counts.
    const bool ends_between_parts = size == items_only || size == items_only + sizeof(uint64_t);
    CHECK(DecodeBatchItems(whole.substr(0, size)).has_value() == ends_between_parts);
  }
}

// Guards against a layout that earlier versions, which run beside this one, cannot read. The bytes were encoded by the
// program of commit e40f4e3.
TEST_CASE("items have the layout of earlier versions") {
  std::vector<BatchItem> items(1);
  items[0].id = "i";
  items[0].target = "/t";
  items[0].headers.Add("n", "v");
  items[0].body = "b";
  items[0].group = "g";
  items[0].length_hint = 2;
  items[0].requested_tokens = 3;
  items[0].reward_call = RewardCall{"c", "h", "/s", "d"};
  std::string hex;
  for (const unsigned char byte : EncodeBatchItems(items)) {
    constexpr char kDigits[] = "0123456789abcdef";
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  CHECK(hex ==
        "01010000000000000001000000000000006902000000000000002f74010000000000000001000000000000006e"
        "010000000000000076010000000000000062010000000000000067020000000000000001000000000000000000"
        "00000000000001000000000000006301000000000000006802000000000000002f730100000000000000640100"
        "0000000000000300000000000000");
}

}  // namespace
}  // namespace quetzalridge
