#include <string>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/config/configuration.h"
#include "comfreyvane/steer/lookup_table_builder.h"
#include "comfreyvane/steer/resource_capacity.h"
#include "comfreyvane/steer/steering_core.h"
#include "measure.h"
#include "slopes.h"

namespace comfreyvane::capacity {
namespace {

constexpr std::size_t kRegions = 9;
constexpr std::size_t kDomains = 34;
constexpr std::size_t kSites = 790;
constexpr std::uint32_t kLarge = 4'000'000;
const ServiceId kService = ServiceId::Of("service");

TimePoint At(std::int64_t second) {
  return TimePoint(std::chrono::seconds(second));
}

/// Half IPv4 of /24, half IPv6 of /48; equal blocks are drawn again.
std::vector<BlockAssignment> Blocks(std::size_t count) {
  RandomSource random(count);
  std::vector<BlockAssignment> blocks;
  blocks.reserve(count);
  const auto gap4 = static_cast<std::uint32_t>((1ULL << 24U) / count);
  const std::uint64_t gap6 = (1ULL << 40U) / count;
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t at = i * gap6 + random.Below(gap6);
    const auto v4 = static_cast<std::uint32_t>(i) * gap4 +
                    static_cast<std::uint32_t>(random.Below(gap4));
    const ClientBlock block =
        i % 2 == 0
            ? ClientBlock(ClientAddress::V4(v4 << 8U), 24)
            : ClientBlock(ClientAddress::V6(0x2000ULL << 48U | at << 16U, 0),
                          48);
    blocks.push_back({block, SiteId(1 + random.Below(kSites))});
  }
  return blocks;
}

std::shared_ptr<const LookupTable> Build(
    const std::vector<BlockAssignment>& blocks) {
  LookupTableBuilder builder{Revision(1)};
  builder.Reserve(blocks.size());
  for (std::size_t site = 1; site <= kSites; ++site)
    builder.AddSite({.site = SiteId(site)});
  for (const auto& block : blocks)
    builder.AddBlock(block);
  return *builder.Build();
}

void MeasureTable(std::size_t count, SteerSlopes& slopes) {
  const auto blocks = Blocks(count);
  const auto size = static_cast<double>(count);
  std::shared_ptr<const LookupTable> table;
  const double built = Nanoseconds(3, [&](int) { table = Build(blocks); });
  slopes.build_time.samples.push_back({size, built / 1e6});
  slopes.table_bytes.samples.push_back(
      {size, static_cast<double>(table->bytes())});
  RandomSource random(1);
  std::vector<ClientAddress> addresses;
  addresses.reserve(1 << 16);
  for (int i = 0; i < 1 << 16; ++i)
    addresses.push_back(blocks[random.Below(count)].block.first());
  slopes.lookup_time.samples.push_back(
      {size, Nanoseconds(1 << 20, [&](int i) {
         Keep(table->Find(addresses[static_cast<std::size_t>(i) & 0xffffU]));
       })});
}

Configuration MakeConfiguration(std::size_t sites) {
  Configuration configuration;
  for (std::size_t i = 0; i < kRegions; ++i)
    configuration.regions.push_back({"region" + std::to_string(i), kLarge});
  for (std::size_t i = 0; i < kDomains; ++i)
    configuration.failure_domains.push_back(
        {"domain" + std::to_string(i),
         "region" + std::to_string(i % kRegions)});
  for (std::size_t i = 0; i < sites; ++i)
    configuration.sites.push_back({"site" + std::to_string(i),
                                   "domain" + std::to_string(i % kDomains),
                                   "provider", kLarge});
  Service service{
      .name = "service", .path_prefix = "/", .shift_cap = 500, .shares = {}};
  for (std::size_t i = 0; i < 8; ++i)
    service.shares.push_back({"site" + std::to_string(i), kWholeShare / 8});
  configuration.services.push_back(service);
  configuration.workspaces.push_back({.name = "workspace", .keys = {}});
  return configuration;
}

std::vector<HostView> Hosts(std::size_t count) {
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

void GrantAll(SteeringCore& core, const Configuration& configuration) {
  for (const auto& [resource, rate] : CapacitiesOf(configuration))
    core.Grant({resource, rate, At(1'000'000)});
}

void MeasureHosts(std::size_t count, SteerSlopes& slopes) {
  const auto size = static_cast<double>(count);
  const Configuration configuration = MakeConfiguration(kSites);
  SteeringCore core{SteeringSettings{}};
  core.Configure(Revision(1), configuration, {}, At(1));
  const std::size_t before = HeapInUse();
  core.SetHosts(Hosts(count));
  slopes.host_bytes.samples.push_back(
      {size, static_cast<double>(HeapInUse() - before)});
  core.SetDemand(kService, {.rate = 0, .link_bits = 0});
  GrantAll(core, configuration);
  slopes.steer_time.samples.push_back(
      {size, Nanoseconds(100'000, [&](int i) {
         const LookupRequest request{
             .client =
                 ClientAddress::V4(static_cast<std::uint32_t>(i) * 2654435761U),
             .service = kService,
             .workspace = WorkspaceId::Of("workspace")};
         Keep(core.Steer(request, At(2 + i / 1'000'000)));
       })});
}

void MeasureSites(std::size_t count, SteerSlopes& slopes) {
  const auto size = static_cast<double>(count);
  const Configuration configuration = MakeConfiguration(count);
  const std::size_t before = HeapInUse();
  SteeringCore core{SteeringSettings{}};
  core.Configure(Revision(1), configuration, {}, At(1));
  GrantAll(core, configuration);
  slopes.site_bytes.samples.push_back(
      {size, static_cast<double>(HeapInUse() - before)});
  slopes.grant_time.samples.push_back(
      {size, Nanoseconds(50, [&](int) { GrantAll(core, configuration); })});
}

}  // namespace

SteerSlopes MeasureSteer() {
  SteerSlopes slopes{{"steer.table", "B", "blocks", {}},
                     {"steer.build", "ms", "blocks", {}},
                     {"steer.find", "ns", "blocks", {}},
                     {"steer.whole_call", "ns", "hosts", {}},
                     {"steer.hosts", "B", "hosts", {}},
                     {"steer.sites", "B", "sites", {}},
                     {"steer.grant_round", "ns", "sites", {}}};
  for (const std::size_t blocks : {125'000, 250'000, 500'000})
    MeasureTable(blocks, slopes);
  for (const std::size_t hosts : {8, 300, 1000, 2900})
    MeasureHosts(hosts, slopes);
  for (const std::size_t sites : {100, 400, 790})
    MeasureSites(sites, slopes);
  return slopes;
}

}  // namespace comfreyvane::capacity
