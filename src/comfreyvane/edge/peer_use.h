/// @file
/// Running requests of other hosts at backend servers.
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

/// Sums the running requests of all other hosts at each backend server.
class PeerUse {
 public:
  /// Replaces the report of a host.
  /// @return the new sums of the servers in the previous and in the new report.
  [[nodiscard]] std::vector<BackendUse>
  Replace(HostId host, const std::vector<BackendUse>& use, TimePoint now);

  /// Removes the reports of hosts that have sent none for some time.
  /// @return the new sums of the servers in these reports.
  [[nodiscard]] std::vector<BackendUse> Expire(TimePoint now);

 private:
  struct Report {
    std::vector<BackendUse> use;
    TimePoint received_at{};
  };

  void Subtract(const Report& report,
                std::unordered_set<BackendServerId>& changed);
  /// @return the sums of the given servers; deletes sums that are zero.
  [[nodiscard]] std::vector<BackendUse> Sums(
      const std::unordered_set<BackendServerId>& servers);

  std::unordered_map<HostId, Report> reports_;
  std::unordered_map<BackendServerId, std::uint32_t> running_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_PEER_USE_H_
