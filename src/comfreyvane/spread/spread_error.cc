#include "comfreyvane/spread/spread_error.h"

namespace comfreyvane {

std::string_view Name(SpreadError error) {
  switch (error) {
    case SpreadError::kMalformed:
      return "malformed";
    case SpreadError::kBaseMismatch:
      return "base-mismatch";
    case SpreadError::kDigestMismatch:
      return "digest-mismatch";
  }
  return "malformed";
}

}  // namespace comfreyvane
