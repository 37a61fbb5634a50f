/// @file
/// Shortage of capacity.
#ifndef COMFREYVANE_STEER_SHORTAGE_H_
#define COMFREYVANE_STEER_SHORTAGE_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/fwd.h"
#include "comfreyvane/steer/shortage_reason.h"

namespace comfreyvane {

/// The resource that rules out an answer, with the inputs of that decision.
struct Shortage {
  ResourceId resource{};
  ShortageReason reason = ShortageReason::kNotHeld;
  std::int64_t usable = 0;    ///< Leased rate that may be used.
  std::int64_t reserved = 0;  ///< Reserved by unexpired answers.
  Duration retry_after{0};    ///< Time until capacity is expected.

  friend bool operator==(const Shortage&, const Shortage&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHORTAGE_H_
