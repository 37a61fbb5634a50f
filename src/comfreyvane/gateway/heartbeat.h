/// @file
/// A message that a host periodically sends to the other hosts.
#ifndef COMFREYVANE_GATEWAY_HEARTBEAT_H_
#define COMFREYVANE_GATEWAY_HEARTBEAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/edge/backend_use.h"
#include "comfreyvane/edge/crash_count.h"
#include "comfreyvane/edge/leaving_report.h"
#include "comfreyvane/edge/limit_report.h"
#include "comfreyvane/edge/path_group.h"
#include "comfreyvane/edge/path_report.h"
#include "comfreyvane/edge/workspace_limiter.h"

namespace comfreyvane {

/// A message that a host periodically sends to the other hosts.
struct Heartbeat {
  std::string host;
  std::uint64_t incarnation = 0;  ///< Differs between runs of the host.
  std::uint64_t sequence = 0;     ///< Increases within an incarnation.
  bool leaving = false;           ///< The sender is shutting down.
  /// Requests of the sender that run on servers relevant to the receiver;
  /// nothing if the heartbeat does not report them.
  std::optional<std::vector<BackendUse>> use;
  std::vector<CrashCount> crash_counts;
  /// Tokens that the sender requests.
  std::vector<WorkspaceTokens> requested_tokens;
  /// Tokens that the sender transfers to the receiver.
  std::vector<WorkspaceTokens> granted_tokens;
  /// Groups of servers that the sender may have lost its path to. The receiver
  /// answers at once with what it reaches.
  std::vector<PathGroup> asked_paths;
  /// Answer to asked_paths; nothing if the heartbeat is none.
  std::optional<std::vector<PathReport>> paths;
  Duration loop_delay{};  ///< With `paths`: how late the sender runs.
  /// Request limits of backend servers.
  std::vector<LimitReport> limits;
  /// Backend servers that have said that they leave.
  std::vector<LeavingReport> leaving_servers;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_HEARTBEAT_H_
