/// @file
/// Selection of entry hosts for answers.
#ifndef COMFREYVANE_STEER_HOST_SELECTOR_H_
#define COMFREYVANE_STEER_HOST_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/steer/entry_host.h"
#include "comfreyvane/steer/fwd.h"
#include "comfreyvane/steer/host_view.h"

namespace comfreyvane {

/// Selects the entry hosts of an answer: first those in the site's failure
/// domain, then those in its region, then others. Within a failure domain,
/// hosts are ordered by rendezvous hash, with overloaded ones last. If several
/// hosts are selected, the last is in another failure domain if there is one.
/// Leaving hosts are never selected.
class HostSelector {
 public:
  /// A host is overloaded above this percentage of the mean load in its failure
  /// domain.
  static constexpr std::uint64_t kLoadBoundPercent = 125;

  HostSelector() = default;

  /// @param topology maps failure domains to regions.
  HostSelector(const std::vector<HostView>& hosts, const Topology& topology);

  /// @param key seed of the rendezvous hash; the same key selects the same
  ///     hosts.
  /// @param domain of the site that the client is sent to.
  /// @param region of the site that the client is sent to.
  /// @param count maximum number of hosts.
  /// @return hosts in the order in which a caller should try them.
  [[nodiscard]] std::vector<EntryHost> Select(std::uint64_t key,
                                              FailureDomainId domain,
                                              RegionId region,
                                              std::size_t count) const;

 private:
  struct Domain {
    RegionId region;
    std::uint64_t load = 0;
    std::vector<HostView> hosts;
  };

  void Append(const Domain& domain,
              std::uint64_t key,
              std::size_t count,
              std::vector<EntryHost>& chosen) const;

  /// @return up to `count` other failure domains, those of the region first.
  [[nodiscard]] std::vector<const Domain*> OtherDomains(
      std::uint64_t key,
      FailureDomainId nearest,
      RegionId region,
      std::size_t count) const;

  std::map<FailureDomainId, Domain> domains_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_HOST_SELECTOR_H_
