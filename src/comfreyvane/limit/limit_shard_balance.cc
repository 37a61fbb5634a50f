#include <algorithm>
#include <cmath>

#include "comfreyvane/limit/limit_shard.h"

namespace comfreyvane {
namespace {

constexpr Duration kMinSampleDuration = std::chrono::milliseconds(10);
/// Tokens that an estimate of demand should average over.
constexpr double kTargetSampleTokens = 30;
constexpr double kMinAveragingSeconds = 0.3;
constexpr double kMaxAveragingSeconds = 3;
/// A sample this many standard deviations off replaces the estimate.
constexpr double kStepDeviations = 4;
constexpr double kMinDemand = 0.01;  ///< Tokens per second.
/// The demand is zero after an interval without arrivals in which more than
/// this many were expected.
constexpr double kIdleTokens = 6;
/// Fractions of the rate and of the burst that are split equally between hosts;
/// the rest is split by demand.
constexpr double kEqualRateFraction = 0.01;
constexpr double kEqualBurstFraction = 0.7;
/// Smallest change of a loan, in share units.
constexpr std::int64_t kMinLoanChange = 1000;

bool Differs(const Share& a, const Share& b) {
  return std::abs(a.rate - b.rate) >= kMinLoanChange ||
         std::abs(a.burst - b.burst) >= kMinLoanChange;
}

/// Weight of a host's demand; a host with few tokens has a greater weight.
double Weight(double demand, double fill) {
  return demand * (1.5 - fill);
}

}  // namespace

void LimitShard::UpdateDemand(LimitState& state, TimePoint now) {
  const Duration elapsed = now - state.demand_measured_at;
  if (elapsed < kMinSampleDuration)
    return;
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const auto arrived =
      static_cast<double>(state.bucket.offered() - state.measured_offered);
  state.demand_measured_at = now;
  state.measured_offered = state.bucket.offered();
  const double expected = state.demand * seconds;
  state.expected_since_arrival =
      arrived > 0 ? 0 : state.expected_since_arrival + expected;
  if (state.expected_since_arrival > kIdleTokens) {
    state.demand = 0;
    return;
  }
  if (std::abs(arrived - expected) >
      kStepDeviations * std::sqrt(expected + 1)) {
    state.demand = arrived / seconds;
    return;
  }
  const double average =
      std::clamp(kTargetSampleTokens / std::max(state.demand, 1.0),
                 kMinAveragingSeconds, kMaxAveragingSeconds);
  const double gain = 1 - std::exp(-seconds / average);
  state.demand += gain * (arrived / seconds - state.demand);
  if (state.demand < kMinDemand)
    state.demand = 0;
}

void LimitShard::Balance(TimePoint now) {
  balanced_at_ = now;
  for (auto& [id, state] : limits_) {
    UpdateDemand(state, now);
    BalanceLimit(state, now);
  }
}

void LimitShard::BalanceLimit(LimitState& state, TimePoint now) {
  EraseExpiredLoans(state, now);
  ReduceLoansToOwnShare(state, now);
  state.bucket.Advance(now);
  const std::vector<Target> targets = ComputeTargets(state, now);
  Share total_shortfall;
  for (const Target& target : targets)
    total_shortfall =
        total_shortfall + Max(target.desired - target.own, Share{});
  const Share excess = Max(targets.front().own - targets.front().desired, {});
  std::vector<std::pair<HostId, Share>> loans;
  for (const Target& target : targets) {
    if (target.host == self_)
      continue;
    const Share shortfall = Max(target.desired - target.own, Share{});
    const auto prorate = [](std::int64_t available, std::int64_t needed,
                            std::int64_t total) {
      return total <= 0 ? 0 : std::min(available, total) * needed / total;
    };
    loans.emplace_back(
        target.host,
        Share{prorate(excess.rate, shortfall.rate, total_shortfall.rate),
              prorate(excess.burst, shortfall.burst, total_shortfall.burst)});
  }
  const auto lent_to = [&state](HostId host) {
    const auto found = state.lent.find(host);
    return found == state.lent.end() ? Share{} : found->second.share;
  };
  for (const auto& [host, share] : loans) {
    if (Differs(share, lent_to(host)) ||
        (share == Share{} && lent_to(host) != Share{}))
      Lend(state, host, share, now);
  }
}

/// Divides the shares of all reachable hosts between them: a fixed fraction
/// equally, the rest by demand.
/// @return one target for each host, first that of this host.
std::vector<LimitShard::Target> LimitShard::ComputeTargets(
    const LimitState& state,
    TimePoint now) const {
  struct Member {
    HostId host;
    std::int64_t own;
    double weight;
    bool is_leaving;
  };
  const auto capacity = static_cast<double>(state.bucket.capacity());
  const double fill =
      capacity > 0 ? static_cast<double>(state.bucket.tokens()) / capacity : 0;
  std::vector<Member> members{
      {self_, own_.At(now), Weight(state.demand, fill), is_stopping_}};
  for (const auto& [host, peer] : peers_) {
    if (!IsReachable(peer, now))
      continue;
    const auto found = state.peers.find(host);
    const double weight =
        found == state.peers.end()
            ? 0
            : Weight(found->second.demand, found->second.fill);
    members.push_back({host, peer.own_units, weight, peer.is_leaving});
  }
  double total = 0;
  double weights = 0;
  double remaining_members = 0;
  for (const Member& member : members) {
    total += static_cast<double>(member.own);
    weights += member.is_leaving ? 0 : member.weight;
    remaining_members += member.is_leaving ? 0 : 1;
  }
  std::vector<Target> targets;
  for (const Member& member : members) {
    const double equal =
        member.is_leaving || remaining_members == 0 ? 0 : 1 / remaining_members;
    const double by_demand = member.is_leaving ? 0
                             : weights > 0     ? member.weight / weights
                                               : equal;
    const auto units = [&](double equal_fraction) {
      return static_cast<std::int64_t>(
          total * (equal_fraction * equal + (1 - equal_fraction) * by_demand));
    };
    targets.push_back(
        {member.host, Share{member.own, member.own},
         Share{units(kEqualRateFraction), units(kEqualBurstFraction)}});
  }
  return targets;
}

}  // namespace comfreyvane
