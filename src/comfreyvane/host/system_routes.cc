#include "comfreyvane/host/system_routes.h"

#include <json/value.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <utility>

#include "comfreyvane/config/configuration_index.h"
#include "comfreyvane/config/key_digest.h"
#include "comfreyvane/host/query_parameter.h"
#include "comfreyvane/net/json_text.h"

namespace comfreyvane {
namespace {

constexpr std::string_view kPrefix = "/.comfreyvane/";
constexpr std::string_view kSteerPath = "/.comfreyvane/steer";
constexpr std::string_view kTicketsPath = "/.comfreyvane/tickets";
constexpr std::string_view kHealthPath = "/.comfreyvane/health";
constexpr std::uint32_t kMostTickets = 100;

Refusal NotRun(RefusalReason reason) {
  return {reason, RunState::kNotRun, {}};
}

std::uint32_t CountOf(const std::string& text) {
  std::uint32_t count = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, count);
  const bool is_count = error == std::errc() && stop == end && count > 0;
  return is_count ? std::min(count, kMostTickets) : 0;
}

std::optional<ClientAddress> AddressOf(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<ClientAddress>> {
        BOOST_LEAF_AUTO(address, ClientAddress::Parse(text));
        return std::optional<ClientAddress>(address);
      },
      [] { return std::optional<ClientAddress>(); });
}

Json::Value ToJson(const SteeringAnswer& answer,
                   const ConfigurationIndex& configuration) {
  Json::Value body;
  const Site* const site = configuration.Find(answer.site);
  body["site"] = site == nullptr ? "" : site->name;
  body["ttl_ms"] = Json::Int64{
      std::chrono::duration_cast<std::chrono::milliseconds>(answer.ttl)
          .count()};
  body["revision"] = Json::UInt64{answer.revision.value()};
  body["hosts"] = Json::Value(Json::arrayValue);
  for (const EntryHost& host : answer.hosts) {
    Json::Value row;
    row["address"] = host.address;
    row["port"] = host.port;
    row["incarnation"] = Json::UInt64{host.incarnation.value()};
    body["hosts"].append(row);
  }
  return body;
}

}  // namespace

SystemRoutes::SystemRoutes(HostContext& context)
    : context_(context), configuration_(context.configuration) {}

bool SystemRoutes::Owns(std::string_view path) {
  return path.starts_with(kPrefix);
}

SystemRoutes::Result SystemRoutes::Answer(const RequestTerms& terms,
                                          const std::string& client,
                                          TimePoint now) {
  if (terms.path == kSteerPath)
    return AnswerSteer(terms, client, now);
  if (terms.path == kTicketsPath)
    return AnswerTickets(terms, now);
  if (terms.path == kHealthPath)
    return std::string("{\"healthy\":true}");
  return NotRun(RefusalReason::kRouteUnknown);
}

std::variant<SystemRoutes::Caller, Refusal> SystemRoutes::Identify(
    const RequestTerms& terms,
    const std::string& service,
    TimePoint now) {
  Caller caller;
  caller.configuration = configuration_.Read();
  if (!caller.configuration)
    return NotRun(RefusalReason::kConfigurationMissing);
  caller.service = caller.configuration->FindService(service);
  if (caller.service == nullptr)
    return NotRun(RefusalReason::kRouteUnknown);
  KeyId key_id;
  if (!terms.key.empty()) {
    const IndexedKey* const key =
        caller.configuration->FindKey(KeyDigest::Of(terms.key));
    if (key == nullptr)
      return NotRun(RefusalReason::kKeyUnknown);
    if (key->withdrawn)
      return NotRun(RefusalReason::kKeyWithdrawn);
    caller.workspace = key->workspace;
    key_id = key->id;
  } else if (caller.service->access == AccessPolicy::kKeyed) {
    return NotRun(RefusalReason::kKeyMissing);
  }
  const auto stale =
      context_.configurations.With([&](const ConfigurationCore& core) {
        return core.MayServe(caller.service->access, key_id, now);
      });
  if (stale)
    return *stale;
  return caller;
}

SystemRoutes::Result SystemRoutes::AnswerSteer(const RequestTerms& terms,
                                               const std::string& client,
                                               TimePoint now) {
  const auto service = QueryParameter(terms.query, "service");
  const auto address = AddressOf(client);
  if (!service || !address)
    return NotRun(RefusalReason::kMalformedRequest);
  const auto identified = Identify(terms, *service, now);
  if (const auto* refusal = std::get_if<Refusal>(&identified))
    return *refusal;
  const Caller& caller = std::get<Caller>(identified);
  const bool idempotent =
      QueryParameter(terms.query, "idempotent").value_or("yes") != "no";
  const LookupRequest request{*address, ServiceId::Of(*service),
                              caller.workspace, idempotent};
  const SteeringDecision decision = context_.steering.With(
      [&](SteeringCore& core) { return core.Steer(request, now); });
  context_.metrics.Count(CounterName::kLookUps);
  if (const auto* refusal = std::get_if<Refusal>(&decision.outcome))
    return *refusal;
  const auto& answer = std::get<SteeringAnswer>(decision.outcome);
  Json::Value body = ToJson(answer, *caller.configuration);
  body["service"] = *service;
  return ToText(body);
}

SystemRoutes::Result SystemRoutes::AnswerTickets(const RequestTerms& terms,
                                                 TimePoint now) {
  const auto service = QueryParameter(terms.query, "service");
  const std::uint32_t count =
      CountOf(QueryParameter(terms.query, "count").value_or("1"));
  if (!service || count == 0)
    return NotRun(RefusalReason::kMalformedRequest);
  const auto identified = Identify(terms, *service, now);
  if (const auto* refusal = std::get_if<Refusal>(&identified))
    return *refusal;
  if (context_.stop.phase() != StopPhase::kServing)
    return NotRun(RefusalReason::kHostLeaving);
  Json::Value body;
  body["service"] = *service;
  body["host"] = context_.settings.name;
  body["tickets"] = Json::Value(Json::arrayValue);
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto ticket = IssueTicket(std::get<Caller>(identified), now);
    if (!ticket)
      return NotRun(RefusalReason::kRecordUnavailable);
    body["tickets"].append(*ticket);
  }
  return ToText(body);
}

std::optional<std::string> SystemRoutes::IssueTicket(const Caller& caller,
                                                     TimePoint now) {
  if (caller.service->once == OncePolicy::kHostRecord)
    return context_.host_records.IssueTicket(now);
  return context_.store_records.IssueName(ServiceId::Of(caller.service->name),
                                          caller.workspace);
}

}  // namespace comfreyvane
