/// @file
/// A recorded submission of a non-idempotent request.
#ifndef COMFREYVANE_HOST_ONCE_CLAIM_H_
#define COMFREYVANE_HOST_ONCE_CLAIM_H_

#include <variant>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/once/record_name.h"
#include "comfreyvane/once/verified_ticket.h"

namespace comfreyvane {

/// A record in the table service.
struct StoreClaim {
  ServiceId service;
  RecordName name;

  friend bool operator==(const StoreClaim&, const StoreClaim&) = default;
};

/// The record under which a non-idempotent request runs.
using OnceClaim = std::variant<VerifiedTicket, StoreClaim>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_ONCE_CLAIM_H_
