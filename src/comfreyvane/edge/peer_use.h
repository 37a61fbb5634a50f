/// @file
/// What other hosts run at backend servers.
#ifndef COMFREYVANE_EDGE_PEER_USE_H_
#define COMFREYVANE_EDGE_PEER_USE_H_

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/backend_use.h"

namespace comfreyvane {

/// Sums the requests that other hosts run at each backend server.
class PeerUse {
 public:
  /// Replaces what a host runs.
  /// @return the sums of the servers that the host uses or has used.
  [[nodiscard]] std::vector<BackendUse>
  Replace(HostId host, const std::vector<BackendUse>& use, TimePoint now);

  /// Forgets hosts that have received_at nothing for a while.
  /// @return the sums of the servers that they used.
  [[nodiscard]] std::vector<BackendUse> Expire(TimePoint now);

 private:
  struct Report {
    std::vector<BackendUse> use;
    TimePoint received_at{};
  };

  void Subtract(const Report& report,
                std::unordered_set<BackendServerId>& changed);
  /// @return the sums of some servers; forgets those that are zero.
  [[nodiscard]] std::vector<BackendUse> Sums(
      const std::unordered_set<BackendServerId>& servers);

  std::unordered_map<HostId, Report> reports_;
  std::unordered_map<BackendServerId, std::uint32_t> running_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_PEER_USE_H_
