/// @file
/// Concept of a signer of request tickets.
#ifndef COMFREYVANE_ONCE_TICKET_SIGNER_H_
#define COMFREYVANE_ONCE_TICKET_SIGNER_H_

#include <concepts>
#include <string_view>

#include "comfreyvane/once/ticket_signature.h"

namespace comfreyvane {

/// Computes a message authentication code with a secret that no other process
/// knows and no later incarnation reuses.
template <typename T>
concept TicketSigner = requires(const T& signer, std::string_view bytes) {
  { signer(bytes) } -> std::same_as<TicketSignature>;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_TICKET_SIGNER_H_
