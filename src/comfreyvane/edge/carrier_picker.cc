#include "comfreyvane/edge/carrier_picker.h"

#include <algorithm>
#include <array>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {
namespace {

/// Time for which a report is valid: four intervals in which hosts are asked.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1200);

/// Time for which a carrier that did not answer gets no requests.
constexpr Duration kBackoff = std::chrono::seconds(1);

/// Hosts that are asked at once in each of the failure domain, the region and
/// other regions.
constexpr std::size_t kMaxAsked = 6;

/// Cost of the way to a carrier as time: its delay, and the price of its bytes.
constexpr double kSameRegionMs = 20.0;
constexpr double kOtherRegionMs = 90.0;

/// Processor time of a request at a carrier, core milliseconds.
constexpr double kWorkMs = 0.5;

constexpr double kMinProcessorShare = 0.05;

/// A carrier that runs late delays the request twice, on both ways.
constexpr double kDelayFactor = 2.0;

}  // namespace

CarrierPicker::CarrierPicker(const FleetHost& self) : self_(self) {}

std::vector<FleetHost> CarrierPicker::HostsToAsk(
    const std::vector<FleetHost>& serving) {
  std::array<std::vector<const FleetHost*>, 3> near_first;
  for (const FleetHost& host : serving) {
    if (host.id() == self_.id())
      continue;
    const bool in_domain = host.failure_domain == self_.failure_domain;
    const bool in_region = host.region == self_.region;
    near_first[in_domain ? 0 : in_region ? 1 : 2].push_back(&host);
  }
  std::vector<FleetHost> asked;
  for (auto& hosts : near_first) {
    const std::size_t count = std::min(kMaxAsked, hosts.size());
    for (std::size_t i = 0; i < count; ++i)
      asked.push_back(*hosts[(asked_ * kMaxAsked + i) % hosts.size()]);
  }
  ++asked_;
  return asked;
}

void CarrierPicker::OnReport(const FleetHost& host,
                             const Report& report,
                             TimePoint now) {
  Candidate& candidate = candidates_[host.id()];
  candidate.host = host;
  candidate.region = RegionId::Of(host.region);
  candidate.report = report;
  candidate.reported_at = now;
}

void CarrierPicker::OnLeaving(HostId host) {
  const auto found = candidates_.find(host);
  if (found != candidates_.end())
    found->second.report.paths.clear();
}

std::optional<Carrier> CarrierPicker::Pick(const PathGroup& group,
                                           const std::vector<RegionId>& regions,
                                           const std::vector<HostId>& tried,
                                           TimePoint now) const {
  const Candidate* best = nullptr;
  Duration best_age{};
  double best_cost = 0.0;
  for (const auto& [id, candidate] : candidates_) {
    const auto age = AgeOf(candidate, group, now);
    const bool may_carry =
        regions.empty() ||
        std::ranges::find(regions, candidate.region) != regions.end();
    if (!age || !may_carry || now < candidate.backoff_until ||
        std::ranges::find(tried, id) != tried.end())
      continue;
    const double cost = CostOf(candidate);
    if (best != nullptr && cost >= best_cost)
      continue;
    best = &candidate;
    best_age = *age;
    best_cost = cost;
  }
  if (best == nullptr)
    return std::nullopt;
  return Carrier{best->host, best->report.incarnation, group, best_age};
}

void CarrierPicker::OnStarted(HostId host) {
  ++candidates_[host].running;
}

void CarrierPicker::OnFinished(HostId host, bool reached, TimePoint now) {
  const auto found = candidates_.find(host);
  if (found == candidates_.end())
    return;
  if (found->second.running > 0)
    --found->second.running;
  if (!reached)
    found->second.backoff_until = now + kBackoff;
}

double CarrierPicker::CostOf(const Candidate& candidate) const {
  const FleetHost& host = candidate.host;
  const double share = std::max(kMinProcessorShare, host.processor_share);
  const double delay =
      std::chrono::duration<double, std::milli>(candidate.report.delay).count();
  double cost =
      kWorkMs * (candidate.running + 1.0) / share + kDelayFactor * delay;
  if (host.region != self_.region)
    cost += kOtherRegionMs;
  else if (host.failure_domain != self_.failure_domain)
    cost += kSameRegionMs;
  // Hosts that choose at the same time choose different carriers.
  const std::uint64_t order =
      HashPair(self_.id().value(), host.id().value()) >> 32U;
  return cost + static_cast<double>(order) * 0x1.0p-32;
}

std::optional<Duration> CarrierPicker::AgeOf(const Candidate& candidate,
                                             const PathGroup& group,
                                             TimePoint now) {
  const Duration since = now - candidate.reported_at;
  if (since > kReportLifetime)
    return std::nullopt;
  for (const PathReport& report : candidate.report.paths) {
    if (report.group == group)
      return report.age + since;
  }
  return std::nullopt;
}

}  // namespace comfreyvane
