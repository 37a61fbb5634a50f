/// @file
/// Counts running requests through a planned stop.
#ifndef COMFREYVANE_HOST_STOP_GATE_H_
#define COMFREYVANE_HOST_STOP_GATE_H_

#include <functional>
#include <mutex>
#include <optional>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/drain/stop_action.h"
#include "comfreyvane/drain/stop_core.h"

namespace comfreyvane {

/// The stop state machine under a lock. Safe for use by all threads.
class StopGate {
 public:
  /// Called with actions to take, from any thread, without the lock held.
  using Sink = std::function<void(StopActions)>;

  StopGate(const StopSettings& settings, Sink sink);

  /// Counts a request as running.
  /// @return why it must not run; it is not counted then.
  [[nodiscard]] std::optional<Refusal> TryStart();
  void Finish(TimePoint now);

  void Stop(TimePoint now);
  void OnTick(TimePoint now);
  void OnLeasesReturned(TimePoint now);

  [[nodiscard]] StopPhase phase() const;
  [[nodiscard]] std::uint64_t running() const;

 private:
  void Emit(StopActions actions);

  mutable std::mutex mutex_;
  StopCore core_;
  Sink sink_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_STOP_GATE_H_
