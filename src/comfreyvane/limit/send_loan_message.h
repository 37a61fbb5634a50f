/// @file
/// Action that sends a LoanMessage.
#ifndef COMFREYVANE_LIMIT_SEND_LOAN_MESSAGE_H_
#define COMFREYVANE_LIMIT_SEND_LOAN_MESSAGE_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"
#include "comfreyvane/limit/loan_message.h"

namespace comfreyvane {

/// Action: send a message to a peer. It may be lost.
struct SendLoanMessage {
  HostId to;
  LoanMessage message;

  friend bool operator==(const SendLoanMessage&,
                         const SendLoanMessage&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_SEND_LOAN_MESSAGE_H_
