/// @file
/// Rate limit over all hosts together.
#ifndef COMFREYVANE_LIMIT_LIMIT_VALUE_H_
#define COMFREYVANE_LIMIT_LIMIT_VALUE_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// Rate limit over all hosts together: in any window of length t, the hosts
/// admit at most rate x t + burst tokens.
struct Limit {
  LimitId id;
  std::uint32_t rate = 0;   ///< Tokens per second.
  std::uint32_t burst = 0;  ///< Tokens.

  friend bool operator==(const Limit&, const Limit&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_LIMIT_VALUE_H_
