#include "comfreyvane/spread/apply_result.h"

namespace comfreyvane {

std::string_view Name(ApplyStatus status) {
  switch (status) {
    case ApplyStatus::kAccepted:
      return "accepted";
    case ApplyStatus::kConflict:
      return "conflict";
    case ApplyStatus::kUnknown:
      return "unknown";
    case ApplyStatus::kUnavailable:
      return "unavailable";
    case ApplyStatus::kBusy:
      return "busy";
  }
  return "unknown";
}

}  // namespace comfreyvane
