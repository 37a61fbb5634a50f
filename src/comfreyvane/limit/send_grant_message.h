/// @file
/// Action that sends a GrantMessage.
#ifndef COMFREYVANE_LIMIT_SEND_GRANT_MESSAGE_H_
#define COMFREYVANE_LIMIT_SEND_GRANT_MESSAGE_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"
#include "comfreyvane/limit/grant_message.h"

namespace comfreyvane {

/// Action: send a message to a peer. It may be lost.
struct SendGrantMessage {
  HostId to;
  GrantMessage message;

  friend bool operator==(const SendGrantMessage&,
                         const SendGrantMessage&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_SEND_GRANT_MESSAGE_H_
