/// @file
/// Selection of the host that carries a request.
#ifndef COMFREYVANE_EDGE_CARRIER_PICKER_H_
#define COMFREYVANE_EDGE_CARRIER_PICKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/carrier.h"
#include "comfreyvane/edge/fleet_host.h"
#include "comfreyvane/edge/path_group.h"
#include "comfreyvane/edge/path_report.h"

namespace comfreyvane {

/// Selects the host that carries a request to backend servers that this host
/// does not reach. Hosts near by come first. The load is spread by the requests
/// that this host has at each carrier, by its share of a processor, and by how
/// late it reports its event loop to run.
class CarrierPicker {
 public:
  /// What another host says about itself when asked.
  struct Report {
    std::uint64_t incarnation = 0;
    std::vector<PathReport> paths;
    Duration delay{};  ///< By which its event loop runs late.
  };

  explicit CarrierPicker(const FleetHost& self);

  /// Selects the hosts to ask for reports: all of a small fleet; of a large one
  /// a few of this host's failure domain, its region and other regions, others
  /// with each call.
  [[nodiscard]] std::vector<FleetHost> HostsToAsk(
      const std::vector<FleetHost>& serving);

  void OnReport(const FleetHost& host, const Report& report, TimePoint now);
  /// Stops the use of a host that leaves.
  void OnLeaving(HostId host);

  /// @param group that the carrier has to reach.
  /// @param regions where the carrier may be; empty: any.
  /// @param tried carriers that the request has been sent to.
  /// @return nothing if no host is known to reach the group.
  [[nodiscard]] std::optional<Carrier> Pick(
      const PathGroup& group,
      const std::vector<RegionId>& regions,
      const std::vector<HostId>& tried,
      TimePoint now) const;

  void OnStarted(HostId host);
  /// @param reached whether the host has answered.
  void OnFinished(HostId host, bool reached, TimePoint now);

 private:
  struct Candidate {
    FleetHost host;
    RegionId region;
    Report report;
    TimePoint reported_at{};
    std::uint32_t running = 0;  ///< Requests of this host that it carries.
    TimePoint backoff_until{};
  };

  /// @return the expected cost of a request at a carrier, milliseconds.
  [[nodiscard]] double CostOf(const Candidate& candidate) const;
  /// @return the age of a candidate's evidence that it reaches a group; nothing
  ///     if it has none.
  [[nodiscard]] static std::optional<Duration> AgeOf(const Candidate& candidate,
                                                     const PathGroup& group,
                                                     TimePoint now);

  FleetHost self_;
  std::map<HostId, Candidate> candidates_;
  std::size_t asked_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_CARRIER_PICKER_H_
