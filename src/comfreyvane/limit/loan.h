/// @file
/// A loan of a share.
#ifndef COMFREYVANE_LIMIT_LOAN_H_
#define COMFREYVANE_LIMIT_LOAN_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"
#include "comfreyvane/limit/share.h"

namespace comfreyvane {

/// Share of one limit that the sender currently lends to the receiver.
struct Loan {
  LimitId limit;
  std::uint64_t version = 0;  ///< The tokens of a version are added once.
  Share share;
  std::int64_t tokens = 0;  ///< Nano-tokens transferred with this version.

  friend bool operator==(const Loan&, const Loan&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_LOAN_H_
