/// @file
/// Immutable view of the fleet.
#ifndef COMFREYVANE_MEMBER_MEMBER_VIEW_H_
#define COMFREYVANE_MEMBER_MEMBER_VIEW_H_

#include <memory>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/member/member.h"

namespace comfreyvane {

/// Immutable view of the fleet as one host sees it, this host included. Shared
/// between threads as a value.
class MemberView {
 public:
  MemberView() = default;

  /// @param members in any order, with distinct identifiers.
  explicit MemberView(std::vector<Member> members);

  /// @return all members, in the order of their identifiers.
  [[nodiscard]] const std::vector<Member>& members() const { return members_; }

  /// @return the member, or null.
  [[nodiscard]] const Member* Find(HostId host) const;

  /// @return members that may get new callers, in the order of identifiers.
  [[nodiscard]] std::vector<const Member*> Live() const;

  /// @return whether a host may get new callers.
  [[nodiscard]] bool IsLive(HostId host) const;

  friend bool operator==(const MemberView&, const MemberView&) = default;

 private:
  std::vector<Member> members_;
};

/// A view as it is handed to other threads.
using MemberViewPtr = std::shared_ptr<const MemberView>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_MEMBER_VIEW_H_
