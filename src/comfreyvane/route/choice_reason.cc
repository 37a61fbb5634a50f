#include "comfreyvane/route/choice_reason.h"

namespace comfreyvane {

std::string_view Name(ChoiceReason reason) {
  switch (reason) {
    case ChoiceReason::kWarm:
      return "warm";
    case ChoiceReason::kLeastLoaded:
      return "least-loaded";
    case ChoiceReason::kTrial:
      return "trial";
    case ChoiceReason::kIsolated:
      return "alone";
  }
  return "unknown";
}

}  // namespace comfreyvane
