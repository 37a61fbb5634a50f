/// @file
/// What a host knows of one backend server.
#ifndef COMFREYVANE_ROUTE_SERVER_RECORD_H_
#define COMFREYVANE_ROUTE_SERVER_RECORD_H_

#include <cstdint>
#include <optional>

#include "comfreyvane/base/time.h"
#include "comfreyvane/route/ejection_reason.h"
#include "comfreyvane/route/load_report.h"
#include "comfreyvane/route/request_outcome.h"
#include "comfreyvane/route/route_limits.h"
#include "comfreyvane/route/route_server.h"

namespace comfreyvane {

/// Counts and estimates of one backend server, from this host's own evidence
/// and, bounded, from reports. Part of RouteCore.
class ServerRecord {
 public:
  /// @param warm false for a server that must start slowly.
  /// @param latency first estimate.
  ServerRecord(const RouteServer& server,
               bool warm,
               Duration latency,
               TimePoint now);

  [[nodiscard]] const RouteServer& server() const { return server_; }
  [[nodiscard]] std::uint32_t own() const { return own_; }
  [[nodiscard]] std::uint32_t others() const { return others_; }
  [[nodiscard]] std::uint32_t limit() const { return limit_; }
  [[nodiscard]] std::uint32_t site_index() const { return site_index_; }
  [[nodiscard]] std::uint32_t link_index() const { return link_index_; }
  [[nodiscard]] Duration latency() const { return latency_; }
  [[nodiscard]] double success_rate() const { return success_; }
  [[nodiscard]] double ramp() const { return ramp_; }
  [[nodiscard]] bool trial() const { return trial_; }
  [[nodiscard]] bool isolated() const { return alone_; }
  [[nodiscard]] bool leaving() const {
    return server_.leaving || reported_leaving_;
  }
  [[nodiscard]] EjectionReason ejected() const { return ejected_; }
  [[nodiscard]] TimePoint ejected_until() const { return ejected_until_; }
  [[nodiscard]] TimePoint held_until() const { return held_until_; }

  /// @return whether one more request fits.
  [[nodiscard]] bool HasFreeSlot() const {
    return open_ && !alone_ && own_ < own_limit_ && own_ + others_ < limit_;
  }

  /// @return free slots.
  [[nodiscard]] std::uint32_t FreeSlots() const;

  /// @return expected cost of one more request; lower is better.
  [[nodiscard]] double Cost() const {
    return cost_ * static_cast<double>(own_ + others_ + 1);
  }

  /// Takes over a changed description; a moved server starts slowly again.
  void Update(const RouteServer& server, TimePoint now);
  void Assign(std::uint32_t site_index, std::uint32_t link_index) {
    site_index_ = site_index;
    link_index_ = link_index;
  }
  /// @param in_use of all peers received_at of late; none: no peer was.
  void SetPeerUse(std::optional<std::uint32_t> in_use) { peer_use_ = in_use; }

  void OnStarted(bool isolated);
  void OnFinished(RequestOutcome outcome,
                  Duration latency,
                  Duration mean_latency,
                  const RouteLimits& limits,
                  TimePoint now);
  void Report(const LoadReport& report, TimePoint reported_at);

  /// Counts a failed probe; puts off the end of an ejection.
  void OnFailedProbe(const RouteLimits& limits, TimePoint now);

  /// Stops new work; the time doubles with each ejection in a row.
  void Eject(EjectionReason reason, const RouteLimits& limits, TimePoint now);
  /// Keeps the server from work for a moment, without an ejection.
  void Hold(const RouteLimits& limits, TimePoint now);
  /// Marks a server that is in the list no more.
  void Leave() { server_.leaving = true; }
  /// Ends an ejection that a healthy probe may end.
  void OnHealthyProbe(TimePoint now);

  /// @return whether the evidence calls for ejection, and why.
  [[nodiscard]] EjectionReason Verdict(const RouteLimits& limits) const;

  /// Brings all values that depend on time up to date.
  void Refresh(const RouteLimits& limits, Duration mean_latency, TimePoint now);

 private:
  void Sample(Duration latency, TimePoint now);
  void Failed(Duration latency, Duration mean_latency, TimePoint now);
  void Reopen(TimePoint now);
  [[nodiscard]] std::uint32_t EstimateOthers() const;
  void RefreshRamp(const RouteLimits& limits, TimePoint now);

  RouteServer server_;
  std::uint32_t own_ = 0;
  std::uint32_t others_ = 0;
  std::optional<std::uint32_t> peer_use_;
  std::uint32_t limit_ = 0;
  std::uint32_t own_limit_ = 0;
  std::uint32_t site_index_ = 0;
  std::uint32_t link_index_ = 0;
  double cost_ = 1.0;
  bool open_ = true;
  bool trial_ = false;
  bool alone_ = false;
  bool reported_leaving_ = false;
  Duration latency_{0};
  TimePoint sampled_{};
  double success_ = 1.0;
  std::uint32_t samples_ = 0;
  std::uint32_t errors_in_row_ = 0;
  std::uint32_t connect_failures_in_row_ = 0;
  std::uint32_t probe_failures_in_row_ = 0;
  bool crashed_ = false;
  std::uint32_t holds_in_row_ = 0;
  double ramp_ = 1.0;
  bool ramping_ = false;
  TimePoint ramp_start_{};
  EjectionReason ejected_ = EjectionReason::kNone;
  TimePoint ejected_at_{};
  TimePoint ejected_until_{};
  std::uint32_t ejections_in_row_ = 0;
  TimePoint held_until_{};
  std::uint32_t reported_others_ = 0;
  TimePoint reported_at_{};
  bool reported_ = false;
  double contradiction_rate_ =
      0.0;  ///< Reports below the own count, recent part.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SERVER_RECORD_H_
