/// @file
/// Rumours that are still to be passed on.
#ifndef COMFREYVANE_MEMBER_RUMOUR_QUEUE_H_
#define COMFREYVANE_MEMBER_RUMOUR_QUEUE_H_

#include <cstddef>
#include <vector>

#include "comfreyvane/member/domain_rumour.h"
#include "comfreyvane/member/heartbeat.h"
#include "comfreyvane/member/member_rumour.h"

namespace comfreyvane {

/// Rumours that are still to be passed on. Each goes into a bounded number of
/// rounds of heartbeats; a newer rumour of the same subject replaces it.
class RumourQueue {
 public:
  /// Adds a rumour, or replaces the one of the same host.
  void Add(const MemberRumour& rumour);

  /// Adds a rumour, or replaces the one of the same failure domain.
  void Add(const DomainRumour& rumour);

  /// Puts the newest rumours into a heartbeat.
  /// @param own_domain whether the receiver is of the own failure domain.
  void Fill(Heartbeat& beat, bool own_domain) const;

  /// Counts a round of heartbeats to all peers.
  void EndRound();

 private:
  template <typename T>
  struct Entry {
    T rumour;
    std::size_t rounds_left;
  };

  std::vector<Entry<MemberRumour>> members_;
  std::vector<Entry<DomainRumour>> domains_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_RUMOUR_QUEUE_H_
