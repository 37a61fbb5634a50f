/// @file
/// Routing state of one backend server.
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

/// Counts and estimates of one backend server. They are based on this host's
/// own requests and, within bounds, on load reports. Part of RouteCore.
class ServerRecord {
 public:
  /// @param warm false for a server that needs a slow start.
  /// @param latency initial estimate.
  ServerRecord(const RouteServer& server,
               bool warm,
               Duration latency,
               TimePoint now);

  [[nodiscard]] const RouteServer& server() const { return server_; }
  [[nodiscard]] std::uint32_t own_in_use() const { return own_in_use_; }
  [[nodiscard]] std::uint32_t others_in_use() const { return others_in_use_; }
  [[nodiscard]] std::uint32_t limit() const { return limit_; }
  [[nodiscard]] std::uint32_t site_index() const { return site_index_; }
  [[nodiscard]] std::uint32_t link_index() const { return link_index_; }
  [[nodiscard]] Duration latency() const { return latency_; }
  [[nodiscard]] double success_rate() const { return success_rate_; }
  [[nodiscard]] double ramp() const { return ramp_; }
  [[nodiscard]] bool is_trial() const { return is_trial_; }
  [[nodiscard]] bool is_isolated() const { return isolated_; }
  [[nodiscard]] bool is_leaving() const {
    return server_.leaving || reported_leaving_;
  }
  [[nodiscard]] EjectionReason ejected() const { return ejected_; }
  [[nodiscard]] TimePoint ejected_until() const { return ejected_until_; }
  [[nodiscard]] TimePoint held_until() const { return held_until_; }

  /// @return whether another request can be sent to the server.
  [[nodiscard]] bool HasFreeSlot() const {
    return accepts_requests_ && !isolated_ && own_in_use_ < own_limit_ &&
           own_in_use_ + others_in_use_ < limit_;
  }

  /// @return number of requests that can be sent to the server.
  [[nodiscard]] std::uint32_t FreeSlots() const;

  /// @return expected cost of another request; lower is better.
  [[nodiscard]] double Cost() const {
    return cost_ * static_cast<double>(own_in_use_ + others_in_use_ + 1);
  }

  /// Replaces the description. A server that has moved to another site or
  /// distance gets a slow start.
  void Update(const RouteServer& server, TimePoint now);
  void Assign(std::uint32_t site_index, std::uint32_t link_index) {
    site_index_ = site_index;
    link_index_ = link_index;
  }
  /// @param in_use total of all peers with recent reports; empty if there are
  ///     none.
  void SetPeerUse(std::optional<std::uint32_t> in_use) { peer_use_ = in_use; }

  void OnStarted(bool isolated);
  void OnFinished(RequestOutcome outcome,
                  Duration latency,
                  Duration mean_latency,
                  const RouteLimits& limits,
                  TimePoint now);
  void OnLoadReport(const LoadReport& report, TimePoint reported_at);

  /// Counts a failed probe and extends an ejection.
  void OnFailedProbe(const RouteLimits& limits, TimePoint now);

  /// Ejects the server; the time doubles with each consecutive ejection.
  void Eject(EjectionReason reason, const RouteLimits& limits, TimePoint now);
  /// Sends no new requests for a short time, without an ejection.
  void Hold(const RouteLimits& limits, TimePoint now);
  /// Marks a server that is no longer in the list.
  void MarkRemoved() { server_.leaving = true; }
  /// Ends an ejection, except one for EjectionReason::kErrors, which probes
  /// cannot disprove.
  void OnHealthyProbe(TimePoint now);

  /// @return the reason to eject the server; kNone if there is none.
  [[nodiscard]] EjectionReason EjectionVerdict(const RouteLimits& limits) const;

  /// Updates all values that depend on the time.
  void Refresh(const RouteLimits& limits, Duration mean_latency, TimePoint now);

 private:
  void RecordLatency(Duration latency, TimePoint now);
  void RecordFailure(Duration latency, Duration mean_latency, TimePoint now);
  void Reopen(TimePoint now);
  [[nodiscard]] std::uint32_t EstimateOthers() const;
  void RefreshRamp(const RouteLimits& limits, TimePoint now);

  RouteServer server_;
  std::uint32_t own_in_use_ = 0;
  std::uint32_t others_in_use_ = 0;
  std::optional<std::uint32_t> peer_use_;
  std::uint32_t limit_ = 0;
  std::uint32_t own_limit_ = 0;
  std::uint32_t site_index_ = 0;
  std::uint32_t link_index_ = 0;
  double cost_ = 1.0;
  bool accepts_requests_ = true;
  bool is_trial_ = false;
  bool isolated_ = false;
  bool reported_leaving_ = false;
  Duration latency_{0};
  TimePoint last_sample_{};
  double success_rate_ = 1.0;
  std::uint32_t samples_ = 0;
  std::uint32_t consecutive_errors_ = 0;
  std::uint32_t consecutive_connect_failures_ = 0;
  std::uint32_t consecutive_probe_failures_ = 0;
  bool has_crashed_ = false;
  std::uint32_t consecutive_holds_ = 0;
  double ramp_ = 1.0;
  bool is_ramping_ = false;
  TimePoint ramp_start_{};
  EjectionReason ejected_ = EjectionReason::kNone;
  TimePoint ejected_at_{};
  TimePoint ejected_until_{};
  std::uint32_t consecutive_ejections_ = 0;
  TimePoint held_until_{};
  std::uint32_t reported_others_ = 0;
  TimePoint reported_at_{};
  bool has_report_ = false;
  /// Fraction of recent reports below the own count.
  double contradiction_rate_ = 0.0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SERVER_RECORD_H_
