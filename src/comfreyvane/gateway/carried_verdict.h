/// @file
/// What a carrier says about a request that it was sent.
#ifndef COMFREYVANE_GATEWAY_CARRIED_VERDICT_H_
#define COMFREYVANE_GATEWAY_CARRIED_VERDICT_H_

#include <cstdint>

#include "comfreyvane/base/refusal_reason.h"
#include "comfreyvane/base/run_state.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// What a carrier says, beside the answer, about a request that it was sent.
struct CarriedVerdict {
  RunState run_state =
      RunState::kUnknown;  ///< kRan: a server's answer follows.
  RefusalReason reason = RefusalReason::kInternal;  ///< Unless it is kRan.
  std::uint32_t attempts = 0;  ///< Of the carrier, except failed connects.
  Duration retry_after{};      ///< Zero: no advice.

  friend bool operator==(const CarriedVerdict&,
                         const CarriedVerdict&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_CARRIED_VERDICT_H_
