/// @file
/// Signature of a request ticket.
#ifndef COMFREYVANE_ONCE_TICKET_SIGNATURE_H_
#define COMFREYVANE_ONCE_TICKET_SIGNATURE_H_

#include <array>
#include <cstdint>

namespace comfreyvane {

/// Signature of a request ticket.
using TicketSignature = std::array<std::uint8_t, 16>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_TICKET_SIGNATURE_H_
