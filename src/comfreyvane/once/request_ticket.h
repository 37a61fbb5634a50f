/// @file
/// Name of a non-idempotent request.
#ifndef COMFREYVANE_ONCE_REQUEST_TICKET_H_
#define COMFREYVANE_ONCE_REQUEST_TICKET_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/once/ticket_signature.h"

namespace comfreyvane {

/// Signed name of a non-idempotent request under OncePolicy::kHostRecord. Only
/// the incarnation that issued the ticket may run the request.
struct RequestTicket {
  HostId host;
  Incarnation incarnation;
  std::uint64_t serial = 0;  ///< Unique within the incarnation.
  std::uint64_t epoch = 0;  ///< Of issue, counted from the incarnation's start.
  TicketSignature signature{};

  friend bool operator==(const RequestTicket&, const RequestTicket&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_REQUEST_TICKET_H_
