/// @file
/// Text form of request tickets.
#ifndef COMFREYVANE_ONCE_TICKET_TEXT_H_
#define COMFREYVANE_ONCE_TICKET_TEXT_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "comfreyvane/once/request_ticket.h"

namespace comfreyvane {

/// @return the ticket in the form of the request header: hexadecimal fields
///     joined by '-'.
[[nodiscard]] std::string ToText(const RequestTicket& ticket);

/// @return the ticket, or a Refusal kMalformedRequest of unknown run state.
[[nodiscard]] boost::leaf::result<RequestTicket> ParseTicket(
    std::string_view text);

/// @return the bytes that a signature covers: all fields except the signature.
[[nodiscard]] std::string SignedBytes(const RequestTicket& ticket);

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_TICKET_TEXT_H_
