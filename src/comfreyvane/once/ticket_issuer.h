/// @file
/// Issues and verifies request tickets.
#ifndef COMFREYVANE_ONCE_TICKET_ISSUER_H_
#define COMFREYVANE_ONCE_TICKET_ISSUER_H_

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <utility>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/once/request_ticket.h"
#include "comfreyvane/once/ticket_signer.h"
#include "comfreyvane/once/ticket_terms.h"
#include "comfreyvane/once/ticket_text.h"
#include "comfreyvane/once/verified_ticket.h"

namespace comfreyvane {

template <typename Signer>
class BasicTicketIssuer {
 public:
  /// @param first_serial, serial_step make the serials of several issuers of
  ///     one incarnation distinct: issuer i of n starts at i and steps by n. A
  ///     ticket belongs to the shard serial % n.
  BasicTicketIssuer(TicketTerms terms,
                    Signer signer,
                    std::uint64_t first_serial = 0,
                    std::uint64_t serial_step = 1)
      : terms_(terms),
        signer_(std::move(signer)),
        next_serial_(first_serial),
        serial_step_(serial_step) {}

  /// @return a ticket that has not been issued before.
  [[nodiscard]] RequestTicket Issue(TimePoint now) {
    RequestTicket ticket{.host = terms_.host,
                         .incarnation = terms_.incarnation,
                         .serial = next_serial_,
                         .epoch = terms_.EpochAt(now)};
    next_serial_ += serial_step_;
    ticket.signature = signer_(SignedBytes(ticket));
    return ticket;
  }

  /// @return the verified ticket, or a Refusal with unknown run state:
  ///     kWrongHost, kOutcomeUnknown if another incarnation of this host
  ///     issued it, kMalformedRequest if the signature is wrong.
  [[nodiscard]] boost::leaf::result<VerifiedTicket> Verify(
      const RequestTicket& ticket) const {
    if (ticket.host != terms_.host)
      return Unknown(RefusalReason::kWrongHost);
    if (ticket.incarnation != terms_.incarnation)
      return Unknown(RefusalReason::kOutcomeUnknown);
    if (ticket.signature != signer_(SignedBytes(ticket)))
      return Unknown(RefusalReason::kMalformedRequest);
    return VerifiedTicket(ticket);
  }

  [[nodiscard]] const TicketTerms& terms() const { return terms_; }

 private:
  [[nodiscard]] static boost::leaf::error_id Unknown(RefusalReason reason) {
    return boost::leaf::new_error(Refusal{reason, RunState::kUnknown});
  }

  TicketTerms terms_;
  Signer signer_;
  std::uint64_t next_serial_;
  std::uint64_t serial_step_;
};

/// Issues and verifies the tickets of one incarnation of a host.
template <TicketSigner Signer>
using TicketIssuer = BasicTicketIssuer<Signer>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_TICKET_ISSUER_H_
