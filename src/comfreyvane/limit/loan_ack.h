/// @file
/// Acknowledgement of a loan.
#ifndef COMFREYVANE_LIMIT_LOAN_ACK_H_
#define COMFREYVANE_LIMIT_LOAN_ACK_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// Confirms that the sender uses no more of a loan than this version grants.
struct LoanAck {
  LimitId limit;
  std::uint64_t version = 0;
  std::int64_t tokens = 0;  ///< Nano-tokens returned with a reduced share.

  friend bool operator==(const LoanAck&, const LoanAck&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_LOAN_ACK_H_
