/// @file
/// Stamp of a message between hosts.
#ifndef COMFREYVANE_LIMIT_MESSAGE_STAMP_H_
#define COMFREYVANE_LIMIT_MESSAGE_STAMP_H_

#include <cstdint>

#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Stamp of a message. The receiver echoes the newest stamp that it has
/// received, and a lease in its reply counts from that stamp, so that the
/// clocks of two hosts are never compared.
struct MessageStamp {
  Incarnation incarnation;  ///< Of the sender.
  std::uint64_t sequence =
      0;              ///< Increases with each message to this receiver.
  TimePoint sent_at;  ///< On the sender's clock.

  friend bool operator==(const MessageStamp&, const MessageStamp&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_MESSAGE_STAMP_H_
