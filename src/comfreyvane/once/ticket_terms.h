/// @file
/// Issuer and lifetime of request tickets.
#ifndef COMFREYVANE_ONCE_TICKET_TERMS_H_
#define COMFREYVANE_ONCE_TICKET_TERMS_H_

#include <cassert>
#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Issuer and lifetime of request tickets. Expiry depends on the ticket alone,
/// so that a record can be removed when its ticket expires.
struct TicketTerms {
  HostId host;
  Incarnation incarnation;
  TimePoint start{};  ///< Of the incarnation and of epoch 0.
  Duration epoch_length = std::chrono::seconds(10);
  std::uint32_t lifetime_epochs = 60;

  /// @return the epoch at a time not before the start.
  [[nodiscard]] std::uint64_t EpochAt(TimePoint now) const {
    assert(now >= start && epoch_length.count() > 0);
    return static_cast<std::uint64_t>((now - start) / epoch_length);
  }

  /// @return whether a ticket issued in the epoch has expired.
  [[nodiscard]] bool IsExpired(std::uint64_t epoch, TimePoint now) const {
    const std::uint64_t present = EpochAt(now);
    return epoch > present || present - epoch > lifetime_epochs;
  }

  friend bool operator==(const TicketTerms&, const TicketTerms&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_TICKET_TERMS_H_
