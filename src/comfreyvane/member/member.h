/// @file
/// A member of the fleet.
#ifndef COMFREYVANE_MEMBER_MEMBER_H_
#define COMFREYVANE_MEMBER_MEMBER_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/member/host_descriptor.h"
#include "comfreyvane/member/member_state.h"

namespace comfreyvane {

/// A member of the fleet as one host sees it.
struct Member {
  HostId id;
  HostDescriptor descriptor;
  Incarnation incarnation;    ///< Zero: not yet heard of but by the list.
  std::uint32_t version = 0;  ///< Of its own statements on its state.
  MemberState state = MemberState::kSuspect;
  TimePoint last_heard;  ///< Of a direct message; of the start if none.

  /// @return the identifier of its failure domain.
  [[nodiscard]] FailureDomainId domain() const { return descriptor.domain(); }

  friend bool operator==(const Member&, const Member&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_MEMBER_H_
