#include "comfreyvane/member/member_view.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {

MemberView::MemberView(std::vector<Member> members)
    : members_(std::move(members)) {
  std::ranges::sort(members_, {}, &Member::id);
}

const Member* MemberView::Find(HostId host) const {
  const auto at = std::ranges::lower_bound(members_, host, {}, &Member::id);
  return at != members_.end() && at->id == host ? &*at : nullptr;
}

std::vector<const Member*> MemberView::Live() const {
  std::vector<const Member*> live;
  for (const Member& member : members_) {
    if (member.state == MemberState::kLive)
      live.push_back(&member);
  }
  return live;
}

bool MemberView::IsLive(HostId host) const {
  const Member* member = Find(host);
  return member != nullptr && member->state == MemberState::kLive;
}

}  // namespace comfreyvane
