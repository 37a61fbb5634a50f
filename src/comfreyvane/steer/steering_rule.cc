#include "comfreyvane/steer/steering_rule.h"

namespace comfreyvane {

std::string_view Name(SteeringRule rule) {
  switch (rule) {
    case SteeringRule::kShare:
      return "share";
    case SteeringRule::kOtherSite:
      return "other-site";
    case SteeringRule::kUnknownService:
      return "unknown-service";
    case SteeringRule::kNoSiteUp:
      return "no-site-up";
    case SteeringRule::kNoRoom:
      return "no-room";
    case SteeringRule::kNoHost:
      return "no-host";
  }
  return "unknown";
}

}  // namespace comfreyvane
