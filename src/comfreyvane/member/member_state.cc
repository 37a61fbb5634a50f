#include "comfreyvane/member/member_state.h"

namespace comfreyvane {

std::string_view Name(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
    case MemberState::kUnreachable:
      return "unreachable";
  }
  return "unreachable";
}

}  // namespace comfreyvane
