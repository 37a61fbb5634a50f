/// @file
/// The periodic message between members.
#ifndef COMFREYVANE_MEMBER_HEARTBEAT_H_
#define COMFREYVANE_MEMBER_HEARTBEAT_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/member/domain_rumour.h"
#include "comfreyvane/member/member_rumour.h"
#include "comfreyvane/member/member_state.h"

namespace comfreyvane {

/// The periodic message between members, with the newest rumours.
struct Heartbeat {
  Incarnation incarnation;  ///< Of the sender.
  std::uint32_t version = 0;
  MemberState state = MemberState::kLive;  ///< kLive or kLeaving.
  std::uint64_t digest = 0;                ///< Of all that the sender knows.
  bool reply_wanted = false;
  std::vector<MemberRumour> rumours;         ///< At most kRumoursPerMessage.
  std::vector<DomainRumour> domain_rumours;  ///< Inside a domain only.

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_HEARTBEAT_H_
