#include "comfreyvane/gateway/fleet_codec.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <chrono>
#include <limits>
#include <stdexcept>

#include "comfreyvane/gateway/parsed_object.h"

namespace comfreyvane {
namespace {

namespace json = boost::json;

template <typename Number>
Number NumberOf(const json::value& value) {
  return value.to_number<Number>();
}

json::array Pairs(const std::vector<BackendUse>& use) {
  json::array rows;
  for (const BackendUse& one : use)
    rows.push_back(json::array{one.server.value(), one.running});
  return rows;
}

json::array Pairs(const std::vector<CrashCount>& crashes) {
  json::array rows;
  for (const CrashCount& one : crashes)
    rows.push_back(json::array{one.fingerprint, one.count});
  return rows;
}

json::array Pairs(const std::vector<WorkspaceTokens>& amounts) {
  json::array rows;
  for (const WorkspaceTokens& one : amounts)
    rows.push_back(json::array{one.workspace.value(), one.tokens});
  return rows;
}

json::array Pairs(const std::vector<LeavingReport>& reports) {
  json::array rows;
  for (const LeavingReport& one : reports)
    rows.push_back(json::array{one.server.value(), one.started_ms});
  return rows;
}

/// Stands for a limit that has ended.
constexpr double kNoLimit = -1.0;

json::array Rows(const std::vector<LimitReport>& limits) {
  json::array rows;
  for (const LimitReport& one : limits) {
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(one.age);
    rows.push_back(json::array{one.server.value(), one.started_ms,
                               one.rate.value_or(kNoLimit), age.count()});
  }
  return rows;
}

std::vector<LimitReport> ReadLimits(const json::object& object) {
  std::vector<LimitReport> limits;
  const json::value* const rows = object.if_contains("limits");
  if (rows == nullptr)
    return limits;
  for (const json::value& row : rows->as_array()) {
    const json::array& fields = row.as_array();
    const auto rate = NumberOf<double>(fields.at(2));
    const auto age = NumberOf<std::uint32_t>(fields.at(3));
    limits.push_back({BackendServerId(NumberOf<std::uint64_t>(fields.at(0))),
                      NumberOf<std::int64_t>(fields.at(1)),
                      rate < 0.0 ? std::nullopt : std::optional(rate),
                      std::chrono::milliseconds(age)});
  }
  return limits;
}

std::int64_t Milliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

json::array Rows(const std::vector<PathGroup>& groups) {
  json::array rows;
  for (const PathGroup& one : groups)
    rows.push_back(json::array{static_cast<int>(one.kind), one.id});
  return rows;
}

json::array Rows(const std::vector<PathReport>& reports) {
  json::array rows;
  for (const PathReport& one : reports) {
    rows.push_back(json::array{static_cast<int>(one.group.kind), one.group.id,
                               Milliseconds(one.age)});
  }
  return rows;
}

/// @throws std::exception if the kind is unknown.
PathGroup PathGroupOf(const json::array& fields) {
  const auto kind = NumberOf<unsigned>(fields.at(0));
  if (kind > static_cast<unsigned>(PathGroup::Kind::kService))
    throw std::out_of_range("kind of group");
  return {static_cast<PathGroup::Kind>(kind),
          NumberOf<std::uint64_t>(fields.at(1))};
}

std::vector<PathGroup> ReadAskedPaths(const json::object& object) {
  std::vector<PathGroup> groups;
  if (const json::value* const rows = object.if_contains("asked")) {
    for (const json::value& row : rows->as_array())
      groups.push_back(PathGroupOf(row.as_array()));
  }
  return groups;
}

std::optional<std::vector<PathReport>> ReadPaths(const json::object& object) {
  const json::value* const rows = object.if_contains("paths");
  if (rows == nullptr)
    return std::nullopt;
  std::vector<PathReport> reports;
  for (const json::value& row : rows->as_array()) {
    const json::array& fields = row.as_array();
    reports.push_back(
        {PathGroupOf(fields),
         std::chrono::milliseconds(NumberOf<std::uint32_t>(fields.at(2)))});
  }
  return reports;
}

/// Reads an optional array of pairs of numbers.
/// @tparam Second type of the second number of each pair.
/// @param make converts the two numbers of a pair to an element of the result.
template <typename Second, typename Make>
auto ReadPairs(const json::object& object, std::string_view name, Make make) {
  std::vector<decltype(make(0, Second()))> result;
  const json::value* const rows = object.if_contains(name);
  if (rows == nullptr)
    return result;
  for (const json::value& row : rows->as_array()) {
    const json::array& pair = row.as_array();
    result.push_back(make(NumberOf<std::uint64_t>(pair.at(0)),
                          NumberOf<Second>(pair.at(1))));
  }
  return result;
}

template <typename Rows>
void AddPairs(json::object& object, std::string_view name, const Rows& rows) {
  if (!rows.empty())
    object[name] = Pairs(rows);
}

}  // namespace

std::string EncodeFleetHost(const FleetHost& host) {
  return json::serialize(
      json::object{{"name", host.name},
                   {"region", host.region},
                   {"failure_domain", host.failure_domain},
                   {"caller_address", host.caller_address},
                   {"peer_address", host.peer_address},
                   {"peer_port", host.peer_port},
                   {"processor_share", host.processor_share}});
}

std::optional<FleetHost> ParseFleetHost(std::string_view text) {
  return ParsedObject<FleetHost>(text, [](const json::object& object) {
    return FleetHost{TextAt(object, "name"),
                     TextAt(object, "region"),
                     TextAt(object, "failure_domain"),
                     TextAt(object, "caller_address"),
                     TextAt(object, "peer_address"),
                     NumberAt<std::uint16_t>(object, "peer_port"),
                     NumberAt<double>(object, "processor_share")};
  });
}

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  json::object object{{"host", heartbeat.host},
                      {"incarnation", heartbeat.incarnation},
                      {"sequence", heartbeat.sequence}};
  if (heartbeat.leaving)
    object["leaving"] = true;
  if (heartbeat.use)
    object["use"] = Pairs(*heartbeat.use);
  AddPairs(object, "suspects", heartbeat.crash_counts);
  AddPairs(object, "wanted", heartbeat.requested_tokens);
  AddPairs(object, "given", heartbeat.granted_tokens);
  if (!heartbeat.limits.empty())
    object["limits"] = Rows(heartbeat.limits);
  AddPairs(object, "leaving_servers", heartbeat.leaving_servers);
  if (!heartbeat.asked_paths.empty())
    object["asked"] = Rows(heartbeat.asked_paths);
  if (heartbeat.paths) {
    object["paths"] = Rows(*heartbeat.paths);
    object["delay_ms"] = Milliseconds(heartbeat.loop_delay);
  }
  return json::serialize(object);
}

std::optional<Heartbeat> ParseHeartbeat(std::string_view text) {
  return ParsedObject<Heartbeat>(text, [](const json::object& object) {
    const auto amount = [](std::uint64_t id, double tokens) {
      return WorkspaceTokens{WorkspaceId(id), std::max(0.0, tokens)};
    };
    Heartbeat heartbeat;
    heartbeat.host = TextAt(object, "host");
    heartbeat.incarnation = NumberAt<std::uint64_t>(object, "incarnation");
    heartbeat.sequence = NumberAt<std::uint64_t>(object, "sequence");
    heartbeat.leaving = object.contains("leaving");
    if (object.contains("use")) {
      heartbeat.use = ReadPairs<std::uint32_t>(
          object, "use", [](std::uint64_t id, std::uint32_t running) {
            return BackendUse{BackendServerId(id), running};
          });
    }
    heartbeat.crash_counts = ReadPairs<std::uint32_t>(
        object, "suspects", [](std::uint64_t fingerprint, std::uint32_t count) {
          return CrashCount{fingerprint, count};
        });
    heartbeat.requested_tokens = ReadPairs<double>(object, "wanted", amount);
    heartbeat.granted_tokens = ReadPairs<double>(object, "given", amount);
    heartbeat.limits = ReadLimits(object);
    heartbeat.leaving_servers = ReadPairs<std::int64_t>(
        object, "leaving_servers",
        [](std::uint64_t server, std::int64_t started_ms) {
          return LeavingReport{BackendServerId(server), started_ms};
        });
    heartbeat.asked_paths = ReadAskedPaths(object);
    heartbeat.paths = ReadPaths(object);
    if (heartbeat.paths) {
      heartbeat.loop_delay = std::chrono::milliseconds(
          NumberAt<std::uint32_t>(object, "delay_ms"));
    }
    return heartbeat;
  });
}

}  // namespace comfreyvane
