/// @file
/// State of one backend server as one host sees it.
#ifndef COMFREYVANE_EDGE_BACKEND_STATE_H_
#define COMFREYVANE_EDGE_BACKEND_STATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/edge/server_load.h"
#include "comfreyvane/route/load_report.h"
#include "comfreyvane/route/request_outcome.h"

namespace comfreyvane {

/// Request counts and estimates for one backend server, from the requests of
/// this host and from the load that the server and other hosts report. Part of
/// BackendPicker.
class BackendState {
 public:
  explicit BackendState(const BackendEntry& entry, TimePoint now);

  [[nodiscard]] const BackendEntry& entry() const { return entry_; }
  [[nodiscard]] std::uint32_t own_running() const { return own_running_; }
  [[nodiscard]] double slowness() const { return slowness_; }
  [[nodiscard]] bool is_leaving() const {
    return entry_.draining || is_removed_ || has_said_leaving_;
  }
  [[nodiscard]] bool is_removed() const { return is_removed_; }
  [[nodiscard]] bool IsCold(TimePoint now) const { return now < cold_until_; }
  [[nodiscard]] bool IsEjected(TimePoint now) const {
    return now < ejected_until_;
  }
  /// @return whether the server is ejected because it could not be reached or
  ///     has failed, rather than because it has shed a request.
  [[nodiscard]] bool IsFailing(TimePoint now) const {
    return now < failing_until_;
  }

  /// @return the estimated number of requests of other hosts at the server.
  [[nodiscard]] double OthersRunning(TimePoint now) const;

  /// @return the estimated number of requests of all hosts that run or wait at
  ///     the server.
  [[nodiscard]] double Running(TimePoint now) const {
    return own_running_ + OthersRunning(now);
  }

  /// @return what is known of the server's load, from all of that.
  [[nodiscard]] ServerLoad Load(TimePoint now) const;

  /// @return whether a request of this host runs there and the server has not
  ///     answered for much longer than expected.
  [[nodiscard]] bool IsSuspect(Duration expected, TimePoint now) const;

  /// @return the number of other objects that this host has sent here since it
  ///     last sent this one; nothing if it is not among the recent objects.
  [[nodiscard]] std::optional<std::size_t> ObjectsSince(
      std::uint64_t object) const;

  /// @return the moving average of the time to an answer for requests of this
  ///     host.
  [[nodiscard]] Duration mean_run_time() const { return mean_run_time_; }

  /// @return whether this host has sent a request to this incarnation.
  [[nodiscard]] bool is_used() const { return is_used_; }

  /// @return whether the server has asked this host for no requests, or did
  ///     until a short time ago and one runs there already.
  [[nodiscard]] bool IsHeldBack(TimePoint now) const;
  /// Decides whether a probe may be sent although the server has asked for no
  /// requests: one for each of the longest times that a server may ask for.
  /// @return false if it must not be sent.
  [[nodiscard]] bool TakeWaitProbe(TimePoint now);
  /// @return when the time ends for which the server wants no requests.
  [[nodiscard]] TimePoint wait_until() const { return wait_until_; }

  /// Replaces the entry. A new incarnation starts without a record of objects,
  /// slowness, failures, ejections and waits.
  void Update(const BackendEntry& entry, TimePoint now);
  /// Marks a server that the registry no longer lists.
  void MarkRemoved() { is_removed_ = true; }
  /// Sets whether this incarnation has said that it leaves.
  void SetSaidLeaving(bool has_said) { has_said_leaving_ = has_said; }
  void SetCold(Duration cold_for, TimePoint now);
  /// Ends ejections and forgets the failures that led to them.
  void ForgetFailures();

  void OnStarted(TimePoint now);
  /// @param latency from dispatch to the end of the answer.
  /// @param expected time at a server of average speed.
  void OnFinished(RequestOutcome outcome,
                  Duration latency,
                  Duration expected,
                  std::uint64_t object,
                  TimePoint now);
  void OnLoad(const LoadReport& report, TimePoint now);
  /// Records for how long the server wants no requests from this host.
  void OnWait(Duration wait, TimePoint now);
  void OnPeerUse(std::uint32_t running, TimePoint now);

  /// Takes a token from the bucket that limits the requests of this host to a
  /// cold server.
  /// @param rate of this host, requests/s.
  /// @return false if there is no token.
  [[nodiscard]] bool TakeColdToken(double rate, TimePoint now);
  [[nodiscard]] bool HasColdToken(double rate, TimePoint now) const;

 private:
  [[nodiscard]] double ColdTokens(double rate, TimePoint now) const;
  void Eject(TimePoint now);

  BackendEntry entry_;
  bool is_removed_ = false;
  bool has_said_leaving_ = false;
  std::uint32_t own_running_ = 0;
  double slowness_ = 1.0;
  double failure_rate_ = 0.0;  ///< Moving average over recent attempts, 0 to 1.
  std::uint32_t samples_ = 0;
  std::uint32_t ejections_in_row_ = 0;
  TimePoint ejected_until_{};
  TimePoint failing_until_{};
  TimePoint wait_until_{};
  TimePoint wait_probed_at_{};  ///< Last probe during a wait; zero: never.
  TimePoint cold_until_{};
  double cold_tokens_ = 1.0;
  TimePoint cold_updated_{};
  TimePoint silent_since_ = TimePoint::max();
  double reported_others_ = 0.0;
  TimePoint reported_at_{};
  double peer_running_ = 0.0;
  TimePoint peer_use_at_{};
  Duration mean_run_time_{};
  bool is_used_ = false;
  /// Recent objects without duplicates, newest first.
  std::vector<std::uint64_t> objects_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_BACKEND_STATE_H_
