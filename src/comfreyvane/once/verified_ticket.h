/// @file
/// A verified ticket.
#ifndef COMFREYVANE_ONCE_VERIFIED_TICKET_H_
#define COMFREYVANE_ONCE_VERIFIED_TICKET_H_

#include <cstdint>

#include "comfreyvane/once/request_ticket.h"

namespace comfreyvane {

/// A ticket that this incarnation has issued. Only TicketIssuer creates one.
class VerifiedTicket {
 public:
  [[nodiscard]] std::uint64_t serial() const { return serial_; }
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

  friend bool operator==(const VerifiedTicket&,
                         const VerifiedTicket&) = default;

 private:
  template <typename>
  friend class BasicTicketIssuer;

  explicit VerifiedTicket(const RequestTicket& ticket)
      : serial_(ticket.serial), epoch_(ticket.epoch) {}

  std::uint64_t serial_;
  std::uint64_t epoch_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_VERIFIED_TICKET_H_
