/// @file
/// Cost of whole look-ups and of shifts at the sizes of the target.
#include "comfreyvane/steer/steering_core.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "comfreyvane/config/configuration.h"
#include "comfreyvane/steer/resource_capacity.h"

namespace comfreyvane {
namespace {

constexpr std::size_t kRegions = 9;
constexpr std::size_t kDomains = 34;
constexpr std::size_t kSites = 790;
constexpr std::uint32_t kLarge = 4'000'000;
const ServiceId kService = ServiceId::Of("service");

TimePoint At(std::int64_t second) {
  return TimePoint(std::chrono::seconds(second));
}

Configuration MakeConfiguration(std::size_t service_sites) {
  Configuration configuration;
  for (std::size_t i = 0; i < kRegions; ++i)
    configuration.regions.push_back({"region" + std::to_string(i), kLarge});
  for (std::size_t i = 0; i < kDomains; ++i)
    configuration.failure_domains.push_back(
        {"domain" + std::to_string(i),
         "region" + std::to_string(i % kRegions)});
  for (std::size_t i = 0; i < kSites; ++i)
    configuration.sites.push_back({"site" + std::to_string(i),
                                   "domain" + std::to_string(i % kDomains),
                                   "provider", kLarge});
  Service service{
      .name = "service", .path_prefix = "/", .shift_cap = 500, .shares = {}};
  for (std::size_t i = 0; i < service_sites; ++i)
    service.shares.push_back(
        {"site" + std::to_string(i),
         kWholeShare / static_cast<std::uint32_t>(service_sites)});
  configuration.services.push_back(service);
  for (int i = 0; i < 8; ++i)
    configuration.workspaces.push_back(
        {.name = "workspace" + std::to_string(i), .keys = {}});
  return configuration;
}

std::vector<HostView> MakeHosts(std::size_t count) {
  std::vector<HostView> hosts;
  for (std::size_t i = 0; i < count; ++i)
    hosts.push_back({.id = HostId::Of("host" + std::to_string(i)),
                     .incarnation = Incarnation(1),
                     .address = "192.0.2.1",
                     .caller_port = 8080,
                     .failure_domain = FailureDomainId::Of(
                         "domain" + std::to_string(i % kDomains))});
  return hosts;
}

/// Whole look-ups: shares, capacity and choice among the hosts.
void BM_Steer(benchmark::State& state) {
  SteeringCore core{SteeringSettings{}};
  const Configuration configuration = MakeConfiguration(8);
  core.Configure(Revision(1), configuration, {}, At(1));
  core.SetHosts(MakeHosts(static_cast<std::size_t>(state.range(0))));
  core.SetDemand(kService, {.rate = 0, .link_bits = 0});
  for (const auto& [resource, rate] : CapacitiesOf(configuration))
    core.Grant({resource, rate, At(1'000'000)});
  std::uint32_t next = 0;
  for (auto _ : state) {
    const LookupRequest request{.client = ClientAddress::V4(next * 2654435761U),
                                .service = kService,
                                .workspace = WorkspaceId::Of("workspace0")};
    benchmark::DoNotOptimize(core.Steer(request, At(2 + next / 1'000'000)));
    ++next;
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_Steer)->Arg(8)->Arg(300)->Arg(2900);

/// A new declaration of shares, which plans all moves.
void BM_Declare(benchmark::State& state) {
  const ShiftTarget first{
      Revision(1), 500, {{SiteId(1), 5000}, {SiteId(2), 5000}}};
  std::uint64_t revision = 1;
  ShiftCore core(kService, first, {});
  for (auto _ : state) {
    ++revision;
    const auto parts = static_cast<std::uint32_t>(revision % 2 * 10000);
    core.SetTarget({Revision(revision),
                    500,
                    {{SiteId(1), parts}, {SiteId(2), kWholeShare - parts}}});
  }
}
BENCHMARK(BM_Declare);

/// What a host reports of a shift under way, about once a second.
void BM_OwnProgress(benchmark::State& state) {
  const ShiftTarget first{
      Revision(1), 500, {{SiteId(1), kWholeShare}, {SiteId(2), 0}}};
  ShiftCore core(kService, first, {});
  core.SetTarget(
      {Revision(2), 500, {{SiteId(1), 0}, {SiteId(2), kWholeShare}}});
  core.RecordArrival(1, 1, At(1));
  core.RecordArrival(1, 1, At(100));
  for (auto _ : state)
    benchmark::DoNotOptimize(core.OwnProgress(At(100)));
}
BENCHMARK(BM_OwnProgress);

}  // namespace
}  // namespace comfreyvane
