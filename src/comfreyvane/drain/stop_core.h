/// @file
/// Decides the order of a planned stop of this host.
#ifndef COMFREYVANE_DRAIN_STOP_CORE_H_
#define COMFREYVANE_DRAIN_STOP_CORE_H_

#include <cstdint>
#include <optional>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/drain/stop_action.h"
#include "comfreyvane/drain/stop_phase.h"
#include "comfreyvane/drain/stop_settings.h"

namespace comfreyvane {

/// Decides the order of a planned stop of this host. No running request is ever
/// cut: the process ends when the last one has finished, however often it is
/// told to stop. Without I/O; not thread safe.
class StopCore {
 public:
  explicit StopCore(StopSettings settings) : settings_(settings) {}

  /// Starts the stop; a second call changes nothing.
  [[nodiscard]] StopActions Stop(TimePoint now);

  /// Moves on when a bound has passed. To be called every 50 ms or so.
  [[nodiscard]] StopActions OnTick(TimePoint now);

  /// Counts a request as running. Only after a RefusalForNewRequest that
  /// allowed it, under the same lock.
  void OnRequestStarted();

  /// Counts a request as finished: its answer is wholly written, or its caller
  /// is gone.
  [[nodiscard]] StopActions OnRequestFinished(TimePoint now);

  /// Leases and slots are given back, or cannot be.
  [[nodiscard]] StopActions OnLeasesReturned(TimePoint now);

  /// @return a refusal of a new request as not run, or none.
  [[nodiscard]] std::optional<Refusal> RefusalForNewRequest() const;

  /// @return the phase.
  [[nodiscard]] StopPhase phase() const { return phase_; }

  /// @return how many requests run.
  [[nodiscard]] std::uint64_t running() const { return running_; }

 private:
  void Advance(TimePoint now, StopActions& actions);

  StopSettings settings_;
  StopPhase phase_ = StopPhase::kServing;
  TimePoint stop_requested_at_;
  TimePoint refusing_since_;
  bool leases_returned_ = false;
  std::uint64_t running_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_STOP_CORE_H_
