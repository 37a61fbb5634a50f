/// @file
/// Signs request tickets.
#ifndef COMFREYVANE_HOST_TICKET_HMAC_H_
#define COMFREYVANE_HOST_TICKET_HMAC_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "comfreyvane/once/ticket_signer.h"

namespace comfreyvane {

/// HMAC-SHA256 (RFC 2104), cut to the signature's size, under a secret that
/// only this process has.
class TicketHmac {
 public:
  /// Draws the secret from the operating system's random source.
  TicketHmac();

  [[nodiscard]] TicketSignature operator()(std::string_view bytes) const;

 private:
  std::array<std::uint8_t, 32> secret_{};
};

static_assert(TicketSigner<TicketHmac>);

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_TICKET_HMAC_H_
