/// @file
/// State of a member as one host sees it.
#ifndef COMFREYVANE_MEMBER_MEMBER_STATE_H_
#define COMFREYVANE_MEMBER_MEMBER_STATE_H_

#include <string_view>

namespace comfreyvane {

/// State of a member as one host sees it. A later value prevails over an
/// earlier one of the same incarnation and version.
enum class MemberState {
  kLive,         ///< Heard, or vouched for by a host that hears it.
  kSuspect,      ///< Silent, or listed and not yet heard. Gets no new callers.
  kLeaving,      ///< Finishes its work; gets nothing new.
  kDead,         ///< Declared dead by a host of its failure domain.
  kUnreachable,  ///< No host of its failure domain is reached from here.
};

/// @return the name in logs and answers, such as "live".
[[nodiscard]] std::string_view Name(MemberState state);

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_MEMBER_STATE_H_
