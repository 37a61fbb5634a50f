/// @file
/// What a host knows of one backend server.
#ifndef COMFREYVANE_EDGE_BACKEND_STATE_H_
#define COMFREYVANE_EDGE_BACKEND_STATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/route/load_report.h"
#include "comfreyvane/route/request_outcome.h"

namespace comfreyvane {

/// Counts and estimates of one backend server, from this host's own_running
/// requests and from the load that the server reports. Part of BackendPicker.
class BackendState {
 public:
  explicit BackendState(const BackendEntry& entry, TimePoint now);

  [[nodiscard]] const BackendEntry& entry() const { return entry_; }
  [[nodiscard]] std::uint32_t own_running() const { return own_running_; }
  [[nodiscard]] double slowness() const { return slowness_; }
  [[nodiscard]] bool is_leaving() const {
    return entry_.draining || is_removed_;
  }
  [[nodiscard]] bool IsCold(TimePoint now) const { return now < cold_until_; }
  [[nodiscard]] bool IsEjected(TimePoint now) const {
    return now < ejected_until_;
  }
  /// @return whether it is ejected since it cannot be reached or has failed,
  ///     and not for having shed a request.
  [[nodiscard]] bool IsFailing(TimePoint now) const {
    return now < failing_until_;
  }

  /// @return requests of other hosts that are assumed to run there.
  [[nodiscard]] double OthersRunning(TimePoint now) const;

  /// @return requests of all hosts that are assumed to run or wait there.
  [[nodiscard]] double Running(TimePoint now) const {
    return own_running_ + OthersRunning(now);
  }

  /// @return whether it has been silent for too long on a request of this host.
  [[nodiscard]] bool IsSuspect(Duration expected, TimePoint now) const;

  /// @return how many other objects this host has sent here since the object;
  ///     none if it was not sent here of late.
  [[nodiscard]] std::optional<std::size_t> ObjectsSince(
      std::uint64_t object) const;

  /// @return average time of its answers, of this host's requests.
  [[nodiscard]] Duration mean_run_time() const { return mean_run_time_; }

  /// @return whether this host has sent it a request.
  [[nodiscard]] bool is_used() const { return is_used_; }

  /// Takes over a changed entry.
  void Update(const BackendEntry& entry, TimePoint now);
  /// Marks a server that is in the registry no more.
  void MarkRemoved() { is_removed_ = true; }
  void SetCold(Duration cold_for, TimePoint now);

  void OnStarted(TimePoint now);
  /// @param latency from dispatch to the end of the answer.
  /// @param expected at a server of ordinary speed.
  void OnFinished(RequestOutcome outcome,
                  Duration latency,
                  Duration expected,
                  std::uint64_t object,
                  TimePoint now);
  void OnLoad(const LoadReport& report, TimePoint now);
  void OnPeerUse(std::uint32_t running, TimePoint now);

  /// Takes one request of those that this host may send to a cold server.
  /// @param rate of this host, requests/s.
  /// @return false if it has to wait.
  [[nodiscard]] bool TakeColdToken(double rate, TimePoint now);
  [[nodiscard]] bool HasColdToken(double rate, TimePoint now) const;

 private:
  [[nodiscard]] double ColdTokens(double rate, TimePoint now) const;
  void Eject(TimePoint now);

  BackendEntry entry_;
  bool is_removed_ = false;
  std::uint32_t own_running_ = 0;
  double slowness_ = 1.0;
  double failure_rate_ = 0.0;  ///< Recent part of attempts that failed.
  std::uint32_t samples_ = 0;
  std::uint32_t ejections_in_row_ = 0;
  TimePoint ejected_until_{};
  TimePoint failing_until_{};
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
  std::vector<std::uint64_t> objects_;  ///< The latest first, each once.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_BACKEND_STATE_H_
