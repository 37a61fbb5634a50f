/// @file
/// Demand on one limit.
#ifndef COMFREYVANE_LIMIT_DEMAND_REPORT_H_
#define COMFREYVANE_LIMIT_DEMAND_REPORT_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// Report of a host's demand on one limit.
struct DemandReport {
  LimitId limit;
  std::int64_t demand = 0;  ///< Milli-tokens per second that callers request.
  std::int64_t fill = 0;    ///< Tokens held, in share units of the capacity.

  friend bool operator==(const DemandReport&, const DemandReport&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_DEMAND_REPORT_H_
