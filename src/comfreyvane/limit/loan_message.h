/// @file
/// Message by which hosts lend each other shares.
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

/// All that one shard of a host tells the same shard of a peer. With a
/// `loan_lifetime`, a limit that is not among the loans is not lent.
struct LoanMessage {
  MessageStamp stamp;
  std::optional<MessageStamp> echo;  ///< Newest stamp seen of the receiver.
  std::uint32_t shard = 0;           ///< Of the sender and the receiver.
  bool reply_requested = false;      ///< Ask for an answer at once.
  bool is_leaving = false;           ///< The sender takes no more loans.
  std::int64_t own_units = 0;        ///< What the sender holds before loans.
  /// From the echoed stamp on. Zero: the message says nothing on loans.
  Duration loan_lifetime{0};
  std::vector<DemandReport> reports;
  std::vector<Loan> loans;
  std::vector<LoanAck> acks;

  friend bool operator==(const LoanMessage&, const LoanMessage&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_LOAN_MESSAGE_H_
