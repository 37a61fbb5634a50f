/// @file
/// Members of the domains that differed.
#ifndef COMFREYVANE_MEMBER_SYNC_REPLY_H_
#define COMFREYVANE_MEMBER_SYNC_REPLY_H_

#include <vector>

#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/member/member_rumour.h"

namespace comfreyvane {

/// Members of the domains that differed, at most kRumoursPerSync of them. What
/// is left out comes with a later request.
struct SyncReply {
  Incarnation incarnation;  ///< Of the sender.
  std::vector<MemberRumour> members;

  friend bool operator==(const SyncReply&, const SyncReply&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_SYNC_REPLY_H_
