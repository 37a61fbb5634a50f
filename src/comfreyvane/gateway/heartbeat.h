/// @file
/// What a host tells the others at regular times.
#ifndef COMFREYVANE_GATEWAY_HEARTBEAT_H_
#define COMFREYVANE_GATEWAY_HEARTBEAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/edge/backend_use.h"
#include "comfreyvane/edge/workspace_limiter.h"

namespace comfreyvane {

/// A request that backend servers broke off on.
struct SuspectReport {
  std::uint64_t fingerprint = 0;
  std::uint32_t count = 0;  ///< At the sender.

  friend bool operator==(const SuspectReport&, const SuspectReport&) = default;
};

/// What a host tells the others at regular times.
struct Heartbeat {
  std::string host;
  std::uint64_t incarnation = 0;  ///< Differs from one run to the next.
  std::uint64_t sequence = 0;     ///< Grows within an incarnation.
  bool leaving = false;
  /// What the sender runs at servers of interest to the receiver; nothing if
  /// the heartbeat does not tell.
  std::optional<std::vector<BackendUse>> use;
  std::vector<SuspectReport> suspects;
  std::vector<WorkspaceTokens> wanted;  ///< What the sender is short of.
  std::vector<WorkspaceTokens> given;   ///< To the receiver.

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_HEARTBEAT_H_
