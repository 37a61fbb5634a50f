/// @file
/// Detection of requests that crash backend servers.
#ifndef COMFREYVANE_EDGE_POISON_REQUEST_TRACKER_H_
#define COMFREYVANE_EDGE_POISON_REQUEST_TRACKER_H_

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/crash_count.h"

namespace comfreyvane {

/// Counts, over all hosts, the crashes of backend servers during each request,
/// and refuses requests with too many crashes. Requests are identified by their
/// fingerprint. Equal requests that run at one server when it crashes are one
/// crash. Each host reports only what it has seen itself, and for two minutes.
class PoisonRequestTracker {
 public:
  /// @return whether the request may run.
  [[nodiscard]] bool MayRun(std::uint64_t fingerprint, TimePoint now) const;

  /// Records that a backend server closed the connection while it ran the
  /// request for this host. If several servers do so at the same time, their
  /// connections broke for another reason, and none of it counts.
  /// @param sent_at when the request was sent to the server.
  void OnServerCrash(std::uint64_t fingerprint,
                     BackendServerId server,
                     TimePoint sent_at,
                     TimePoint now);
  /// Forgets the crashes that this host has seen since a time, because its
  /// connections broke for another reason.
  void Retract(TimePoint since);
  /// Records the crash counts that a peer reports; they replace all that it has
  /// reported before.
  void OnPeerReport(std::uint64_t peer,
                    const std::vector<CrashCount>& counts,
                    TimePoint now);
  /// Clears the record of a request that a backend server has answered.
  void OnAnswered(std::uint64_t fingerprint);

  /// @return the crash counts of this host, to be sent to peers. Crashes that
  ///     have just been seen are left out, since they may be retracted.
  [[nodiscard]] std::vector<CrashCount> CrashCounts(TimePoint now) const;

 private:
  struct Crash {
    BackendServerId server;
    TimePoint at{};
  };
  struct PeerCount {
    std::uint32_t count = 0;
    TimePoint reported_at{};
  };
  struct Record {
    std::vector<Crash> own;  ///< Crashes that this host has seen.
    std::unordered_map<std::uint64_t, PeerCount> by_peer;
    TimePoint updated_at{};
  };
  [[nodiscard]] static std::uint32_t Total(const Record& record, TimePoint now);
  void Trim(TimePoint now);

  std::unordered_map<std::uint64_t, Record> records_;
  Crash last_break_;  ///< The last connection that a server closed.
  /// Requests sent before this time were on connections that broke together.
  TimePoint broken_at_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_POISON_REQUEST_TRACKER_H_
