#include "standins/platform_handler.h"

#include <utility>

#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/json_text.h"

namespace comfreyvane::standin {
namespace {

using boost::beast::http::verb;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kServiceUnavailable = 503;

Json::Value ToJson(const std::vector<TableRow>& rows) {
  Json::Value array(Json::arrayValue);
  for (const TableRow& row : rows) {
    Json::Value value;
    value["key"] = row.key;
    value["value"] = row.value;
    value["revision"] = Json::UInt64{row.revision.value()};
    array.append(value);
  }
  return array;
}

TableTransaction TransactionOf(const Json::Value& call) {
  TableTransaction transaction;
  transaction.id = call["id"].asString();
  for (const Json::Value& row : call["conditions"])
    transaction.conditions.push_back(
        {row["key"].asString(), Revision(row["revision"].asUInt64())});
  for (const Json::Value& row : call["writes"]) {
    TableWrite write{row["key"].asString(), std::nullopt};
    if (!row["value"].isNull())
      write.value = row["value"].asString();
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

HostListing HostOf(const Json::Value& call) {
  return {call["name"].asString(),
          call["failure_domain"].asString(),
          call["address"].asString(),
          static_cast<std::uint16_t>(call["caller_port"].asUInt()),
          static_cast<std::uint16_t>(call["peer_port"].asUInt()),
          call["state"].asString() == "leaving" ? HostState::kLeaving
                                                : HostState::kLive};
}

Json::Value ToJson(const HostListing& host) {
  Json::Value value;
  value["name"] = host.name;
  value["failure_domain"] = host.failure_domain;
  value["address"] = host.address;
  value["caller_port"] = host.caller_port;
  value["peer_port"] = host.peer_port;
  value["state"] = host.state == HostState::kLeaving ? "leaving" : "live";
  return value;
}

}  // namespace

PlatformHandler::PlatformHandler(asio::io_context& io, PlatformState& state)
    : io_(io), state_(state) {}

asio::awaitable<void> PlatformHandler::Delay() {
  asio::steady_timer timer(io_);
  timer.expires_after(std::chrono::milliseconds(faults_.slow_ms));
  co_await timer.async_wait(kAwait);
}

PlatformHandler::Reply PlatformHandler::Serve(verb method,
                                              std::string_view target,
                                              const std::string& body) {
  constexpr std::string_view kObjects = "/objects/";
  const Json::Value call = ParseJson(body).value_or(Json::Value());
  if (target.starts_with(kControlPrefix))
    return ServeControl(target, call);
  if (faults_.down)
    return {kServiceUnavailable, {}};
  if (target.starts_with("/table/"))
    return call.isObject() ? ServeTable(target, call) : Reply{kBadRequest, {}};
  if (target.starts_with(kObjects))
    return ServeObject(method, std::string(target.substr(kObjects.size())),
                       body);
  if (target == "/hosts")
    return ServeHosts();
  return {kNotFound, {}};
}

PlatformHandler::Reply PlatformHandler::ServeTable(std::string_view target,
                                                   const Json::Value& call) {
  if (target == "/table/commit")
    return ServeCommit(call);
  Json::Value answer;
  if (target == "/table/read") {
    std::vector<std::string> keys;
    for (const Json::Value& key : call["keys"])
      keys.push_back(key.asString());
    answer["rows"] = ToJson(state_.Read(keys).rows);
    return {200, ToText(answer)};
  }
  if (target == "/table/scan") {
    answer["rows"] = ToJson(state_.Scan(call["prefix"].asString()).rows);
    return {200, ToText(answer)};
  }
  return {kNotFound, {}};
}

PlatformHandler::Reply PlatformHandler::ServeCommit(const Json::Value& call) {
  Json::Value answer;
  const TableTransaction transaction = TransactionOf(call);
  if (faults_.conflicts > 0) {
    --faults_.conflicts;
    std::vector<std::string> keys;
    for (const TableCondition& condition : transaction.conditions)
      keys.push_back(condition.key);
    answer["conflicts"] = ToJson(state_.Read(keys).rows);
    return {kConflict, ToText(answer)};
  }
  const TableOutcome outcome = state_.Commit(transaction);
  if (outcome.status == TableStatus::kConflict) {
    answer["conflicts"] = ToJson(outcome.conflicts);
    return {kConflict, ToText(answer)};
  }
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    return {200, {}, true};
  }
  answer["revision"] = Json::UInt64{outcome.revision.value()};
  return {200, ToText(answer)};
}

PlatformHandler::Reply PlatformHandler::ServeObject(verb method,
                                                    const std::string& name,
                                                    const std::string& body) {
  if (method == verb::put) {
    state_.PutObject(name, body);
    return {200, {}};
  }
  auto content = state_.ReadObject(name);
  return content ? Reply{200, *std::move(content)} : Reply{kNotFound, {}};
}

PlatformHandler::Reply PlatformHandler::ServeHosts() {
  const auto lag = std::chrono::milliseconds(faults_.host_list_lag_ms);
  Json::Value answer;
  answer["hosts"] = Json::Value(Json::arrayValue);
  for (const HostListing& host : state_.Hosts(lag, MonotonicNow()))
    answer["hosts"].append(ToJson(host));
  return {200, ToText(answer)};
}

PlatformHandler::Reply PlatformHandler::ServeControl(std::string_view target,
                                                     const Json::Value& call) {
  if (target == "/standin/faults" && call.isObject()) {
    faults_ = {call["down"].asBool(), call["slow_ms"].asUInt(),
               call["lose_answers"].asUInt(), call["conflicts"].asUInt(),
               call["host_list_lag_ms"].asUInt()};
    return {200, {}};
  }
  if (target == "/standin/hosts" && call.isObject()) {
    state_.PutHost(HostOf(call), MonotonicNow());
    return {200, {}};
  }
  if (target == "/standin/remove-host" && call.isObject()) {
    state_.RemoveHost(call["name"].asString(), MonotonicNow());
    return {200, {}};
  }
  if (target == "/standin/counts") {
    Json::Value answer;
    answer["commits"] = Json::UInt64{state_.commits()};
    answer["reads"] = Json::UInt64{state_.reads()};
    return {200, ToText(answer)};
  }
  return {kNotFound, {}};
}

}  // namespace comfreyvane::standin
