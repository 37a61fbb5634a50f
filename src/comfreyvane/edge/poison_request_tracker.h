/// @file
/// Detection of requests that crash backend servers.
#ifndef COMFREYVANE_EDGE_POISON_REQUEST_TRACKER_H_
#define COMFREYVANE_EDGE_POISON_REQUEST_TRACKER_H_

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Counts, over all hosts, the crashes of backend servers during each request,
/// and refuses requests with too many crashes. Requests are identified by their
/// fingerprint.
class PoisonRequestTracker {
 public:
  /// @return whether the request may run.
  [[nodiscard]] bool MayRun(std::uint64_t fingerprint, TimePoint now) const;

  /// Records that a backend server closed the connection while it ran the
  /// request for this host.
  void OnServerCrash(std::uint64_t fingerprint, TimePoint now);
  /// Forgets the crashes that this host has seen since a time, because its
  /// connections broke for another reason.
  void Retract(TimePoint since);
  /// Records the crash count that a peer has reported for a request; replaces
  /// the peer's earlier count.
  void OnPeerReport(std::uint64_t fingerprint,
                    std::uint32_t count,
                    std::uint64_t peer,
                    TimePoint now);
  /// Clears the record of a request that a backend server has answered.
  void OnAnswered(std::uint64_t fingerprint);

  struct CrashCount {
    std::uint64_t fingerprint = 0;
    std::uint32_t count = 0;
  };
  /// @return the crash counts of this host, to be sent to peers. Crashes that
  ///     have just been seen are left out, since they may be retracted.
  [[nodiscard]] std::vector<CrashCount> CrashCounts(TimePoint now) const;

 private:
  struct Record {
    std::vector<TimePoint> own;  ///< Crashes that this host has seen.
    std::unordered_map<std::uint64_t, std::uint32_t> by_peer;
    TimePoint updated_at{};
  };
  [[nodiscard]] static std::uint32_t Total(const Record& record);
  void Trim(TimePoint now);

  std::unordered_map<std::uint64_t, Record> records_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_POISON_REQUEST_TRACKER_H_
