/// @file
/// Contains requests that crash backend servers.
#ifndef COMFREYVANE_EDGE_POISON_REQUEST_TRACKER_H_
#define COMFREYVANE_EDGE_POISON_REQUEST_TRACKER_H_

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Counts the crashes of backend servers that each request took part in, over
/// all hosts, and refuses a request that took part in too many.
class PoisonRequestTracker {
 public:
  /// @return whether the request may run.
  [[nodiscard]] bool MayRun(std::uint64_t fingerprint, TimePoint now) const;

  /// Notes that a backend server broke off while it ran the request here.
  void OnServerCrash(std::uint64_t fingerprint, TimePoint now);
  /// Takes in what a peer has updated_at.
  void OnPeerReport(std::uint64_t fingerprint,
                    std::uint32_t count,
                    std::uint64_t peer,
                    TimePoint now);
  /// Notes that a backend server has answered the request.
  void OnAnswered(std::uint64_t fingerprint);

  struct CrashCount {
    std::uint64_t fingerprint = 0;
    std::uint32_t count = 0;
  };
  /// @return suspects of this host, for peers.
  [[nodiscard]] std::vector<CrashCount> CrashCounts(TimePoint now) const;

 private:
  struct Record {
    std::uint32_t own = 0;
    std::unordered_map<std::uint64_t, std::uint32_t> by_peer;
    TimePoint updated_at{};
  };
  [[nodiscard]] static std::uint32_t Total(const Record& record);
  void Trim(TimePoint now);

  std::unordered_map<std::uint64_t, Record> records_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_POISON_REQUEST_TRACKER_H_
