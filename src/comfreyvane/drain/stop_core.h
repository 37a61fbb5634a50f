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
#include "comfreyvane/drain/stop_terms.h"

namespace comfreyvane {

/// State machine of a planned stop of this host: which requests are taken, and
/// when the process may exit. It exits after the last request has finished,
/// also if a stop is requested repeatedly. If it is to be killed after a grace,
/// requests that cannot end by then are refused, and shortly before its end
/// those that still run are answered. Performs no I/O; not thread safe.
class StopCore {
 public:
  explicit StopCore(StopSettings settings) : settings_(settings) {}

  /// Replaces the settings, also during a stop.
  void SetSettings(const StopSettings& settings) { settings_ = settings; }

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

  /// Sets the number of connections that hold a request, a part of one, or an
  /// answer that its caller has not taken yet. The process does not exit while
  /// there are any.
  void OnConnections(std::uint64_t open) { connections_ = open; }

  /// @return the refusal of a new request, marked as not run; nothing if new
  ///     requests are accepted.
  [[nodiscard]] std::optional<Refusal> RefusalForNewRequest() const;

  /// Decides whether a request may be taken, or may begin to run after a wait.
  /// Until the end of the leave grace its expected end must lie before the
  /// time at which running requests are given up; later its deadline must.
  /// @return the refusal, marked as not run; nothing if it may.
  [[nodiscard]] std::optional<Refusal> RefusalFor(const StopTerms& terms,
                                                  TimePoint now) const;

  [[nodiscard]] StopPhase phase() const { return phase_; }

  /// @return the number of running requests.
  [[nodiscard]] std::uint64_t running() const { return running_; }

 private:
  void Advance(TimePoint now, StopActions& actions);
  [[nodiscard]] Refusal LeavingRefusal() const;
  /// @return the end of the leave grace.
  [[nodiscard]] TimePoint leaves_until() const;
  /// @return when running requests are given up; maximum if never.
  [[nodiscard]] TimePoint gives_up_at() const;
  /// @return when the process exits in any case; maximum if never.
  [[nodiscard]] TimePoint exits_at() const;

  StopSettings settings_;
  StopPhase phase_ = StopPhase::kServing;
  TimePoint stop_requested_at_;
  TimePoint refusing_since_;
  bool leases_returned_ = false;
  bool has_given_up_ = false;
  std::uint64_t running_ = 0;
  std::uint64_t connections_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_STOP_CORE_H_
