/// @file
/// What one host tells another of a third.
#ifndef COMFREYVANE_MEMBER_MEMBER_RUMOUR_H_
#define COMFREYVANE_MEMBER_MEMBER_RUMOUR_H_

#include <cstdint>

#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/member/host_descriptor.h"
#include "comfreyvane/member/member_state.h"

namespace comfreyvane {

/// What one host tells another of a third. A greater incarnation prevails,
/// then a greater version, then the later state.
struct MemberRumour {
  HostDescriptor descriptor;
  Incarnation incarnation;
  std::uint32_t version = 0;
  MemberState state = MemberState::kLive;  ///< Never kUnreachable.

  friend bool operator==(const MemberRumour&, const MemberRumour&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_MEMBER_RUMOUR_H_
