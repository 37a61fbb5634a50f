#include "comfreyvane/edge/server_cost.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Cost of the network path as time: its delay, plus the price of its traffic
/// per kilobyte of the answer, converted at the price of a late answer.
constexpr double kSameRegionMs = 5.0;
constexpr double kSameRegionMsPerKb = 8.0;
constexpr double kOtherRegionMs = 45.0;
constexpr double kOtherRegionMsPerKb = 25.0;

/// Fraction of the expected time that is added for a fully loaded server.
constexpr double kLoadCostFactor = 0.2;

/// Multiple of the expected time that is added for a suspect server.
constexpr double kSuspectCostFactor = 3.0;

/// Cost reduction of a new server at its initial senders, milliseconds. It
/// outweighs the other costs, so that the server gets its first request soon.
constexpr double kNewServerBonusMs = 2000.0;

/// Number of requests that may wait at a server, per slot.
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
  // The estimate of other hosts' use may be off by half a request.
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
