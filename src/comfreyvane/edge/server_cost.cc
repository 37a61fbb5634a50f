#include "comfreyvane/edge/server_cost.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// What the way to a server costs, as time: its delay, and the price of its
/// traffic for each kilobyte of an answer against that of a late answer.
constexpr double kSameRegionMs = 5.0;
constexpr double kSameRegionMsPerKb = 8.0;
constexpr double kOtherRegionMs = 45.0;
constexpr double kOtherRegionMsPerKb = 25.0;

/// Part of the expected time that a full server adds.
constexpr double kLoadCostFactor = 0.2;

/// Times the expected time that a silent server adds.
constexpr double kSuspectCostFactor = 3.0;

/// What a server that has joined is preferred by at the hosts that first use
/// it, so that it is soon in use, milliseconds.
constexpr double kNewServerBonusMs = 2000.0;

/// Requests that may wait at a server, for each of its slots.
constexpr double kMaxWaitingPerSlot = 2.0;

double SlotsOf(const ServerSlot& slot) {
  return std::max(1U, slot.state.entry().slots);
}

}  // namespace

bool HasRoom(const ServerSlot& slot, TimePoint now) {
  const double max_requests = (1.0 + kMaxWaitingPerSlot) * SlotsOf(slot);
  return slot.state.Running(now) + 1.0 <= max_requests;
}

Duration ExpectedWait(const ServerSlot& slot, TimePoint now) {
  const double slots = SlotsOf(slot);
  const double waiting = slot.state.Running(now) + 1.0 - slots;
  // Half a request is what the estimate of other hosts' use may be off.
  if (waiting <= 0.5)
    return Duration::zero();
  return Scaled(slot.state.mean_run_time(), waiting / slots);
}

double DistanceCost(Distance distance, double answer_kb) {
  switch (distance) {
    case Distance::kSameFailureDomain:
      return 0.0;
    case Distance::kSameRegion:
      return kSameRegionMs + kSameRegionMsPerKb * answer_kb;
    case Distance::kOtherRegion:
      return kOtherRegionMs + kOtherRegionMsPerKb * answer_kb;
  }
  return 0.0;
}

double ServerCost(const ServerSlot& slot, Duration expected, TimePoint now) {
  const double time =
      std::chrono::duration<double, std::milli>(expected).count();
  const double load = std::min(1.0, slot.state.Running(now) / SlotsOf(slot));
  double cost = time * (1.0 + kLoadCostFactor * load * load);
  if (slot.state.IsSuspect(expected, now))
    cost += kSuspectCostFactor * time;
  if (!slot.state.is_used() && slot.is_initial_sender)
    cost -= kNewServerBonusMs;
  return cost;
}

}  // namespace comfreyvane
