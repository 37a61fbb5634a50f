#include <cstring>
#include <string>
#include <vector>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/fair/fair_queue.h"
#include "comfreyvane/once/request_ledger.h"
#include "comfreyvane/once/ticket_issuer.h"
#include "comfreyvane/route/route_core.h"
#include "comfreyvane/route/server_subset.h"
#include "comfreyvane/wire/route_codec.h"
#include "measure.h"
#include "slopes.h"
#include "wire_size.h"

namespace comfreyvane::capacity {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1h};

void MeasureQueue(std::uint64_t workspaces, RequestSlopes& slopes) {
  const auto size = static_cast<double>(workspaces);
  const std::size_t before = HeapInUse();
  FairQueue<int> queue({.slots = 1000,
                        .max_workspace_entries = 64,
                        .max_entries = 4 * workspaces});
  for (std::uint64_t i = 0; i < workspaces; ++i)
    (void)queue.Push({WorkspaceId(i), kStart + 1h, false, 0}, kStart);
  slopes.queue_bytes.samples.push_back(
      {size, static_cast<double>(HeapInUse() - before)});
  slopes.queue_time.samples.push_back(
      {size, Nanoseconds(200'000, [&](int i) {
         const WorkspaceId workspace(static_cast<std::uint64_t>(i) %
                                     workspaces);
         (void)queue.Push({workspace, kStart + 1h, false, 0}, kStart);
         Keep(queue.Pop(kStart));
       })});
}

std::vector<RouteServer> Servers(std::size_t count) {
  std::vector<RouteServer> servers;
  for (std::size_t i = 0; i < count; ++i)
    servers.push_back({.id = BackendServerId::Of("server-" + std::to_string(i)),
                       .site = SiteId::Of("site-" + std::to_string(i % 6)),
                       .region = RegionId::Of("region"),
                       .distance = static_cast<Distance>(i % 3),
                       .slots = 3 + static_cast<std::uint32_t>(i % 5),
                       .connection_quota = 14});
  return servers;
}

PeerUse UseOf(std::size_t servers) {
  PeerUse use{HostId::Of("host"),
              Incarnation(0x18'0000'0000'0000),
              1'000'000,
              ServiceId::Of("service"),
              {}};
  for (std::size_t i = 0; i < servers; ++i)
    use.servers.push_back(
        {BackendServerId::Of("server-" + std::to_string(i)), 3});
  return use;
}

void MeasureRoute(std::size_t count, RequestSlopes& slopes) {
  const auto size = static_cast<double>(count);
  const std::size_t before = HeapInUse();
  RouteCore core(ServiceId::Of("service"), RouteLimits{}, 1);
  core.OnServers(Servers(count), kStart);
  slopes.route_bytes.samples.push_back(
      {size, static_cast<double>(HeapInUse() - before)});
  TimePoint now = kStart;
  slopes.route_time.samples.push_back(
      {size, Nanoseconds(200'000, [&](int) {
         now += 2us;
         const auto choice = core.Choose({.idempotent = true}, now);
         if (choice && core.TryStart(choice->server, false, now))
           core.Finish(choice->server, RequestOutcome::kOk, 10ms, now);
       })});
  slopes.use_bytes.samples.push_back(
      {size, static_cast<double>(WireBytes("use", ToJson(UseOf(count))))});
}

void MeasureDivide(std::size_t count, RequestSlopes& slopes) {
  std::vector<SubsetHost> hosts;
  for (std::size_t i = 0; i < count; ++i)
    hosts.push_back(
        {HostId::Of("host-" + std::to_string(i)), FailureDomainId(1 + i % 34)});
  std::vector<SubsetServer> servers;
  for (std::size_t i = 0; i < 200; ++i)
    servers.push_back({BackendServerId::Of("server-" + std::to_string(i)),
                       FailureDomainId(1 + i % 34), 300});
  const double time = Nanoseconds(5, [&](int) {
    Keep(ServerSubset::Divide(hosts[0].id, hosts, servers).size());
  });
  slopes.divide_time.samples.push_back(
      {static_cast<double>(count), time / 1e6});
}

struct FastSigner {
  TicketSignature operator()(std::string_view bytes) const {
    const std::uint64_t hash = HashBytes(bytes, 1);
    TicketSignature signature{};
    std::memcpy(signature.data(), &hash, sizeof(hash));
    return signature;
  }
};

void MeasureRecords(std::size_t records, RequestSlopes& slopes) {
  const auto size = static_cast<double>(records);
  const TicketTerms terms{
      .host = HostId(1), .incarnation = Incarnation(1), .start = kStart};
  TicketIssuer<FastSigner> issuer(terms, FastSigner{});
  const std::size_t before = HeapInUse();
  RequestLedger ledger(terms, records + 1);
  const auto begin = [&] {
    const auto ticket = issuer.Verify(issuer.Issue(kStart));
    (void)ledger.Begin(*ticket, RequestId(7), kStart);
    Keep(ledger.MarkDispatched(*ticket, kStart));
    return *ticket;
  };
  for (std::size_t i = 0; i < records; ++i)
    ledger.Finish(begin(), {RunState::kRan, 200}, kStart);
  slopes.record_bytes.samples.push_back(
      {size, static_cast<double>(HeapInUse() - before)});
  slopes.record_time.samples.push_back(
      {size, Nanoseconds(200'000, [&](int) {
         const auto ticket = begin();
         ledger.OnAttemptNotRun(ticket);
         ledger.Finish(ticket, {RunState::kNotRun}, kStart);
       })});
}

}  // namespace

RequestSlopes MeasureRequests() {
  RequestSlopes slopes{{"fair.queue", "B", "workspaces", {}},
                       {"fair.request", "ns", "workspaces", {}},
                       {"route.core", "B", "servers", {}},
                       {"route.choice", "ns", "servers", {}},
                       {"route.divide", "ms", "hosts", {}},
                       {"route.use_message", "B", "servers", {}},
                       {"once.records", "B", "records", {}},
                       {"once.request", "ns", "records", {}}};
  for (const std::uint64_t workspaces : {100, 1000, 10000})
    MeasureQueue(workspaces, slopes);
  for (const std::size_t servers : {12, 50, 200})
    MeasureRoute(servers, slopes);
  for (const std::size_t hosts : {8, 400, 1000, 2900})
    MeasureDivide(hosts, slopes);
  for (const std::size_t records : {1000, 10000, 100000})
    MeasureRecords(records, slopes);
  return slopes;
}

}  // namespace comfreyvane::capacity
