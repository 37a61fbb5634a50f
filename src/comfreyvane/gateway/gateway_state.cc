#include "comfreyvane/gateway/gateway_state.h"

#include <openssl/rand.h>

#include <array>
#include <new>
#include <utility>

#include "comfreyvane/gateway/limit_log.h"
#include "comfreyvane/log/log.h"

namespace comfreyvane {
namespace {

constexpr std::size_t kSecretBytes = 32;

std::unordered_map<ServiceId, Duration> ColdTimes(const RouteTable* table) {
  std::unordered_map<ServiceId, Duration> times;
  if (table == nullptr)
    return times;
  for (const EdgeRoute& route : table->routes()) {
    for (const ServiceShare& share : route.services) {
      if (const EdgeService* service = table->FindService(share.service))
        times[share.service] = service->cold_time;
    }
  }
  return times;
}

}  // namespace

GatewayState::GatewayState(GatewayContext& context,
                           GatewayDispatcher& dispatcher,
                           BackendClient& calls)
    : context_(context), dispatcher_(dispatcher), backend_client_(calls) {}

void GatewayState::ApplyConfiguration(std::shared_ptr<const RouteTable> table,
                                      TimePoint now) {
  const std::uint64_t before = context_.table ? context_.table->version() : 0;
  if (context_.table && table->version() <= before)
    return;
  context_.table = std::move(table);
  context_.limiter.Configure(context_.table->workspaces(), now);
  context_.metrics.Count(CounterName::kRevisionsApplied);
  context_.metrics.SetGauge(
      GaugeName::kConfigurationRevision,
      static_cast<std::int64_t>(context_.table->version()));
  Log(LogLevel::kInfo, "configuration-in-force",
      {{"version", context_.table->version()},
       {"before", before},
       {"routes", context_.table->routes().size()},
       {"workspaces", context_.table->workspaces().size()}});
  if (configuration_listener_)
    configuration_listener_(*context_.table);
  dispatcher_.Reassign();
}

void GatewayState::UpsertBackend(const BackendEntry& entry, TimePoint now) {
  const BackendState* const known = context_.backends.Find(entry.id());
  const bool same = known != nullptr && known->entry() == entry;
  const bool moved =
      known != nullptr && (known->entry().address != entry.address ||
                           known->entry().port != entry.port ||
                           known->entry().started_ms != entry.started_ms);
  const bool has_restarted =
      known != nullptr && known->entry().started_ms != entry.started_ms;
  if (has_restarted)
    LogLimitEnd(entry.id(), "server-restarted");
  const bool was_leaving = known != nullptr && known->is_leaving();
  const bool is_other =
      moved || was_leaving ||
      (known != nullptr &&
       (known->entry().service != entry.service ||
        known->entry().failure_domain != entry.failure_domain));
  context_.backends.Upsert(entry, now);
  const bool is_leaving = context_.backends.Find(entry.id())->is_leaving();
  if (is_other || is_leaving)
    context_.paths.OnGone(entry.id());
  if (!is_leaving)
    context_.paths.OnListed(entry.id(), entry.service, entry.failure_domain);
  if (moved || is_leaving)
    backend_client_.CloseIdle(entry.id());
  if (same)
    return;
  Log(LogLevel::kInfo, "server-listed",
      {{"server", entry.name},
       {"address", entry.address},
       {"port", entry.port},
       {"slots", entry.slots},
       {"draining", entry.draining},
       {"cold_ms", entry.cold_for},
       {"known", known != nullptr}});
  dispatcher_.OnTick(now);
}

void GatewayState::OnServerLeaving(const LeavingReport& report,
                                   std::string_view source,
                                   TimePoint now) {
  if (!context_.backends.OnLeaving(report, now))
    return;
  const BackendState* const state = context_.backends.Find(report.server);
  Log(LogLevel::kInfo, "server-leaving",
      {{"server", state == nullptr ? std::string_view("unlisted")
                                   : std::string_view(state->entry().name)},
       {"source", source},
       {"started_ms", report.started_ms}});
  if (state == nullptr || !state->is_leaving())
    return;
  context_.paths.OnGone(report.server);
  backend_client_.CloseIdle(report.server);
  dispatcher_.OnTick(now);
}

void GatewayState::RemoveBackend(const std::string& name, TimePoint now) {
  const BackendServerId id = BackendServerId::Of(name);
  LogLimitEnd(id, "server-gone");
  context_.backends.Remove(id, now);
  context_.paths.OnGone(id);
  backend_client_.CloseIdle(id);
  Log(LogLevel::kInfo, "server-gone", {{"server", name}});
}

void GatewayState::LogLimitEnd(BackendServerId server,
                               const char* cause) const {
  const BackendState* const state = context_.backends.Find(server);
  const auto rate = context_.backends.LimitOf(server);
  if (!rate)
    return;
  LogLimitChange(state->entry().name,
                 {.kind = LimitChange::Kind::kExpired, .before = *rate}, cause);
}

void GatewayState::SetEvacuated(const std::string& failure_domain,
                                bool evacuated,
                                TimePoint now) {
  const FailureDomainId id = FailureDomainId::Of(failure_domain);
  if (evacuated == evacuated_.contains(id))
    return;
  if (evacuated)
    evacuated_.insert(id);
  else
    evacuated_.erase(id);
  context_.backends.SetEvacuated(evacuated_, ColdTimes(context_.table.get()),
                                 now);
  Log(LogLevel::kInfo, "evacuation",
      {{"failure_domain", failure_domain}, {"evacuated", evacuated}});
}

void GatewayState::SetHosts(const std::vector<FleetHost>& hosts,
                            TimePoint now) {
  const std::size_t before = context_.fleet.size();
  context_.fleet.OnListed(hosts, now);
  if (hosts.size() != before)
    Log(LogLevel::kInfo, "hosts-listed",
        {{"hosts", hosts.size()}, {"before", before}});
  OnTick(now);
}

void GatewayState::SetFleetSecret(const std::string& secret) {
  if (secret == context_.fleet_secret)
    return;
  context_.fleet_secret = secret;
  Log(LogLevel::kInfo, "fleet-secret-read");
}

std::string GatewayState::GenerateSecret() const {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, kSecretBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    throw std::bad_alloc();
  std::string text;
  for (const unsigned char byte : bytes) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0xfU]);
  }
  return text;
}

std::unordered_map<ServiceId, std::uint32_t> GatewayState::ConnectionShares()
    const {
  std::unordered_map<ServiceId, std::uint32_t> shares;
  if (!context_.table)
    return shares;
  for (const EdgeService& service : context_.table->services()) {
    if (service.max_connections > 0)
      shares.emplace(ServiceId::Of(service.name),
                     context_.fleet.ConnectionShare(service.max_connections));
  }
  return shares;
}

void GatewayState::OnTick(TimePoint now) {
  const bool is_pool = context_.fleet.IsLimitPool(now);
  const LimitRole role{context_.fleet.Share(now),
                       is_pool ? context_.fleet.OtherSharesInDomain() : 0.0,
                       is_pool};
  if (role != context_.limiter.role()) {
    Log(LogLevel::kInfo, "limit-share",
        {{"share", role.share},
         {"before", context_.limiter.role().share},
         {"pools", role.is_pool},
         {"pooled", role.pooled_share},
         {"hosts", context_.fleet.size()}});
    context_.limiter.SetRole(role, now);
  }
  for (const BackendServerId server : context_.backends.ServersInRampUp(now)) {
    const BackendState* const state = context_.backends.Find(server);
    const EdgeService* const service =
        context_.table ? context_.table->FindService(state->entry().service)
                       : nullptr;
    const double rate = service == nullptr ? 0.0 : service->cold_rate;
    const double share =
        context_.fleet.ColdShare(server, state->entry().failure_domain);
    context_.backends.SetRampUp(server, share > 0.0, rate * share);
  }
  context_.backends.SetMaxConnections(ConnectionShares());
  for (const BackendServerId server : context_.backends.LimitedServers()) {
    const BackendEntry& entry = context_.backends.Find(server)->entry();
    context_.backends.SetLimitRank(
        server,
        context_.fleet.LimitRankFor(server, entry.failure_domain,
                                    context_.leaving, now),
        now);
  }
  context_.backends.Prune(now);
  backend_client_.PruneIdle(now);
}

}  // namespace comfreyvane
