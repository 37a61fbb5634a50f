/// @file
/// Planned stop of this host.
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

/// State machine of a planned stop of this host. Running requests are never
/// aborted: the process exits after the last one has finished, also if a stop
/// is requested repeatedly. Performs no I/O; not thread safe.
class StopCore {
 public:
  explicit StopCore(StopSettings settings) : settings_(settings) {}

  /// Starts the stop. Further calls have no effect.
  [[nodiscard]] StopActions Stop(TimePoint now);

  /// Advances the phase when a time limit has passed. Call about every 50 ms.
  [[nodiscard]] StopActions OnTick(TimePoint now);

  /// Counts a request as running. RefusalForNewRequest must have returned
  /// nothing under the same lock.
  void OnRequestStarted();

  /// Counts a request as finished: its answer has been written completely, or
  /// its caller has disconnected.
  [[nodiscard]] StopActions OnRequestFinished(TimePoint now);

  /// Reports that leases and slots have been returned, or that this failed. Has
  /// no effect before ReturnLeases.
  [[nodiscard]] StopActions OnLeasesReturned(TimePoint now);

  /// @return the refusal of a new request, marked as not run; nothing if new
  ///     requests are accepted.
  [[nodiscard]] std::optional<Refusal> RefusalForNewRequest() const;

  [[nodiscard]] StopPhase phase() const { return phase_; }

  /// @return the number of running requests.
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
