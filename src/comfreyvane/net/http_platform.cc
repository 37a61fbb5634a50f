#include "comfreyvane/net/http_platform.h"

#include <json/value.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <utility>

#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/json_text.h"

namespace comfreyvane {
namespace {

using boost::beast::http::verb;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kServiceUnavailable = 503;

TableStatus StatusOf(const HttpCallResult& result) {
  if (result.status == HttpCallStatus::kNotReached)
    return TableStatus::kUnavailable;
  if (result.status == HttpCallStatus::kNoAnswer)
    return TableStatus::kUnknown;
  switch (result.http_status) {
    case kOk:
      return TableStatus::kDone;
    case kConflict:
      return TableStatus::kConflict;
    case kServiceUnavailable:
      return TableStatus::kUnavailable;
    default:
      return TableStatus::kMalformed;
  }
}

std::optional<std::vector<TableRow>> RowsOf(const Json::Value& rows) {
  if (!rows.isArray())
    return std::nullopt;
  std::vector<TableRow> result;
  for (const Json::Value& row : rows) {
    if (!row.isObject() || !row["key"].isString() || !row["value"].isString() ||
        !row["revision"].isUInt64())
      return std::nullopt;
    result.push_back({row["key"].asString(), row["value"].asString(),
                      Revision(row["revision"].asUInt64())});
  }
  return result;
}

std::optional<HostListing> HostOf(const Json::Value& host) {
  if (!host.isObject() || !host["name"].isString() ||
      !host["failure_domain"].isString() || !host["address"].isString() ||
      !host["caller_port"].isUInt() || !host["peer_port"].isUInt() ||
      !host["state"].isString())
    return std::nullopt;
  return HostListing{host["name"].asString(),
                     host["failure_domain"].asString(),
                     host["address"].asString(),
                     static_cast<std::uint16_t>(host["caller_port"].asUInt()),
                     static_cast<std::uint16_t>(host["peer_port"].asUInt()),
                     host["state"].asString() == "leaving" ? HostState::kLeaving
                                                           : HostState::kLive};
}

HttpCall PostCall(std::string target, const Json::Value& body) {
  return {verb::post, std::move(target), ToText(body), {}};
}

Json::Value ToJson(const TableTransaction& transaction) {
  Json::Value body;
  body["id"] = transaction.id;
  body["conditions"] = Json::Value(Json::arrayValue);
  for (const TableCondition& condition : transaction.conditions) {
    Json::Value row;
    row["key"] = condition.key;
    row["revision"] = Json::UInt64{condition.revision.value()};
    body["conditions"].append(row);
  }
  body["writes"] = Json::Value(Json::arrayValue);
  for (const TableWrite& write : transaction.writes) {
    Json::Value row;
    row["key"] = write.key;
    row["value"] = write.value ? Json::Value(*write.value) : Json::Value();
    body["writes"].append(row);
  }
  return body;
}

TableOutcome OutcomeOf(std::string id, const HttpCallResult& result) {
  TableOutcome outcome{std::move(id), StatusOf(result), {}, {}};
  const bool has_body = outcome.status == TableStatus::kDone ||
                        outcome.status == TableStatus::kConflict;
  if (!has_body)
    return outcome;
  const auto body = ParseJson(result.body);
  const bool is_object = body && body->isObject();
  if (outcome.status == TableStatus::kDone) {
    // Its effect is certain by the status alone; a garbled body is not an
    // answer, so the transaction has to be repeated.
    if (!is_object || !(*body)["revision"].isUInt64())
      outcome.status = TableStatus::kUnknown;
    else
      outcome.revision = Revision((*body)["revision"].asUInt64());
    return outcome;
  }
  const auto rows = is_object ? RowsOf((*body)["conflicts"]) : std::nullopt;
  if (!rows)
    outcome.status = TableStatus::kMalformed;
  else
    outcome.conflicts = *rows;
  return outcome;
}

TableReading ReadingOf(const HttpCallResult& result) {
  TableReading reading{StatusOf(result), {}};
  if (reading.status != TableStatus::kDone)
    return reading;
  const auto body = ParseJson(result.body);
  const auto rows =
      body && body->isObject() ? RowsOf((*body)["rows"]) : std::nullopt;
  if (!rows)
    reading.status = TableStatus::kMalformed;
  else
    reading.rows = *rows;
  return reading;
}

}  // namespace

HttpPlatform::HttpPlatform(asio::io_context& io,
                           TimeoutSweeper& sweeper,
                           const tcp::endpoint& server,
                           Duration call_timeout)
    : io_(io), client_(io, sweeper, server), call_timeout_(call_timeout) {}

void HttpPlatform::Send(HttpCall call,
                        std::function<void(HttpCallResult)> on_result) {
  asio::co_spawn(
      io_, client_.Call(std::move(call), MonotonicNow() + call_timeout_),
      [on_result = std::move(on_result)](const std::exception_ptr& failure,
                                         HttpCallResult result) {
        on_result(failure ? HttpCallResult{HttpCallStatus::kNoAnswer, 0, {}}
                          : std::move(result));
      });
}

void HttpPlatform::Commit(const TableTransaction& transaction,
                          std::function<void(TableOutcome)> on_outcome) {
  Send(
      PostCall("/table/commit", ToJson(transaction)),
      [id = transaction.id, on_outcome = std::move(on_outcome)](
          const HttpCallResult& result) { on_outcome(OutcomeOf(id, result)); });
}

void HttpPlatform::Read(const std::vector<std::string>& keys,
                        std::function<void(TableReading)> on_reading) {
  Json::Value body;
  body["keys"] = Json::Value(Json::arrayValue);
  for (const std::string& key : keys)
    body["keys"].append(key);
  Send(PostCall("/table/read", body),
       [on_reading = std::move(on_reading)](const HttpCallResult& result) {
         on_reading(ReadingOf(result));
       });
}

void HttpPlatform::Scan(const std::string& prefix,
                        std::function<void(TableReading)> on_reading) {
  Json::Value body;
  body["prefix"] = prefix;
  Send(PostCall("/table/scan", body),
       [on_reading = std::move(on_reading)](const HttpCallResult& result) {
         on_reading(ReadingOf(result));
       });
}

void HttpPlatform::PutObject(const std::string& name,
                             const std::string& content,
                             std::function<void(TableStatus)> on_stored) {
  Send({verb::put, "/objects/" + name, content, {}},
       [on_stored = std::move(on_stored)](const HttpCallResult& result) {
         on_stored(StatusOf(result));
       });
}

void HttpPlatform::ReadObject(const std::string& name,
                              std::function<void(ObjectReading)> on_reading) {
  Send({verb::get, "/objects/" + name, {}, {}}, [on_reading =
                                                     std::move(on_reading)](
                                                    HttpCallResult result) {
    if (result.http_status == kNotFound) {
      on_reading({TableStatus::kDone, false, {}});
      return;
    }
    const TableStatus status = StatusOf(result);
    on_reading({status, status == TableStatus::kDone, std::move(result.body)});
  });
}

void HttpPlatform::ReadHosts(
    std::function<void(TableStatus, std::vector<HostListing>)> on_hosts) {
  Send({verb::get, "/hosts", {}, {}},
       [on_hosts = std::move(on_hosts)](const HttpCallResult& result) {
         const TableStatus status = StatusOf(result);
         if (status != TableStatus::kDone) {
           on_hosts(status, {});
           return;
         }
         const auto body = ParseJson(result.body);
         if (!body || !body->isObject() || !(*body)["hosts"].isArray()) {
           on_hosts(TableStatus::kMalformed, {});
           return;
         }
         std::vector<HostListing> hosts;
         for (const Json::Value& row : (*body)["hosts"]) {
           if (auto host = HostOf(row))
             hosts.push_back(*std::move(host));
         }
         on_hosts(status, std::move(hosts));
       });
}

}  // namespace comfreyvane
