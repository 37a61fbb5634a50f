/// @file
/// Who sends a message to whom, and when.
#ifndef COMFREYVANE_PEER_PEER_STAMP_H_
#define COMFREYVANE_PEER_PEER_STAMP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"

namespace comfreyvane {

/// Names one message between two runs of hosts.
struct PeerStamp {
  HostId from;
  Incarnation from_incarnation;
  HostId to;
  Incarnation to_incarnation;  ///< Zero: the sender does not know it yet.
  std::uint64_t sequence = 0;  ///< Grows with each message of the sender.

  friend bool operator==(const PeerStamp&, const PeerStamp&) = default;
};

/// @return the stamp in the form of the header field.
[[nodiscard]] std::string ToText(const PeerStamp& stamp);

/// @return the stamp, or nothing if the text is not one.
[[nodiscard]] std::optional<PeerStamp> ParsePeerStamp(std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_PEER_PEER_STAMP_H_
