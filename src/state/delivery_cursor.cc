#include "state/delivery_cursor.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/error.h"
#include "state/finished_group_json.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

}  // namespace

BatchState DeliveryCursor::StateOf(int64_t number) const {
  if (number < 1 || number > m_last_number) {
    return BatchState::kUnknown;
  }
  if (m_open.has_value() && m_open->number == number) {
    return BatchState::kOpen;
  }
  const bool is_void = number <= m_forgotten_up_to ||
                       std::find(m_void_numbers.begin(), m_void_numbers.end(), number) != m_void_numbers.end();
  return is_void ? BatchState::kVoid : BatchState::kConfirmed;
}

void DeliveryCursor::Open(std::vector<FinishedGroup> groups) {
  if (m_open.has_value()) {
    throw std::logic_error("a batch is open; confirm or void it before the next one");
  }
  m_open = DeliveryBatch{++m_last_number, std::move(groups)};
  m_expired_objects.clear();
}

void DeliveryCursor::ConfirmOpen() {
  if (!m_open.has_value()) {
    throw std::logic_error("no batch is open; check StateOf before confirming");
  }
  m_last_confirmed = m_open->number;
  for (const FinishedGroup& group : m_open->groups) {
    m_confirmed_samples += group.samples;
    m_expired_objects.push_back(group.object);
  }
  m_open.reset();
}

void DeliveryCursor::VoidOpen() {
  if (!m_open.has_value()) {
    throw std::logic_error("no batch is open; check open() before voiding");
  }
  ++m_void_batches;
  m_void_numbers.push_back(m_open->number);
  if (m_void_numbers.size() > kRememberedVoids) {
    m_forgotten_up_to = m_void_numbers.front();
    m_void_numbers.erase(m_void_numbers.begin());
  }
  m_open.reset();
}

std::string DeliveryCursor::Encode() const {
  Json json = {{"last", m_last_number},          {"confirmed", m_last_confirmed}, {"samples", m_confirmed_samples},
               {"void_batches", m_void_batches}, {"voids", m_void_numbers},       {"forgotten", m_forgotten_up_to},
               {"expired", m_expired_objects}};
  if (m_open.has_value()) {
    Json groups = Json::array();
    for (const FinishedGroup& group : m_open->groups) {
      groups.push_back(FinishedGroupToJson(group));
    }
    json["open"] = {{"number", m_open->number}, {"groups", groups}};
  }
  return json.dump();
}

DeliveryCursor DeliveryCursor::Decode(const std::string& row) {
  DeliveryCursor cursor;
  if (row.empty()) {
    return cursor;
  }
  try {
    const Json json = Json::parse(row);
    cursor.m_last_number = json.at("last").get<int64_t>();
    cursor.m_last_confirmed = json.at("confirmed").get<int64_t>();
    cursor.m_confirmed_samples = json.at("samples").get<int64_t>();
    cursor.m_void_batches = json.at("void_batches").get<int64_t>();
    cursor.m_void_numbers = json.at("voids").get<std::vector<int64_t>>();
    cursor.m_forgotten_up_to = json.at("forgotten").get<int64_t>();
    cursor.m_expired_objects = json.at("expired").get<std::vector<std::string>>();
    if (json.contains("open")) {
      cursor.m_open = DeliveryBatch{json["open"].at("number").get<int64_t>(), {}};
      for (const Json& group : json["open"].at("groups")) {
        cursor.m_open->groups.push_back(FinishedGroupFromJson(group));
      }
    }
  } catch (const Json::exception& e) {
    throw Error(ErrorCode::kInternal, std::string("malformed cursor row; restore or delete it: ") + e.what());
  }
  return cursor;
}

}  // namespace quetzalridge
