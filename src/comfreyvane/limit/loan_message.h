/// @file
/// Message about loans of shares between hosts.
#ifndef COMFREYVANE_LIMIT_LOAN_MESSAGE_H_
#define COMFREYVANE_LIMIT_LOAN_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/limit/demand_report.h"
#include "comfreyvane/limit/loan.h"
#include "comfreyvane/limit/loan_ack.h"
#include "comfreyvane/limit/message_stamp.h"

namespace comfreyvane {

/// Message from one shard of a host to the same shard of a peer. If
/// `loan_lifetime` is not zero, `loans` is complete: the sender lends nothing
/// of a limit that is not listed.
struct LoanMessage {
  MessageStamp stamp;
  std::optional<MessageStamp>
      echo;                      ///< Newest stamp received from the receiver.
  std::uint32_t shard = 0;       ///< Of the sender and the receiver.
  bool reply_requested = false;  ///< Requests an immediate reply.
  bool is_leaving = false;       ///< The sender accepts no more loans.
  std::int64_t own_units = 0;    ///< Share units the sender holds before loans.
  /// Counts from the echoed stamp. Zero: `loans` must be ignored.
  Duration loan_lifetime{0};
  std::vector<DemandReport> reports;
  std::vector<Loan> loans;
  std::vector<LoanAck> acks;

  friend bool operator==(const LoanMessage&, const LoanMessage&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_LOAN_MESSAGE_H_
