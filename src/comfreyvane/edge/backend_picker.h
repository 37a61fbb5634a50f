/// @file
/// Chooses the backend server of each request.
#ifndef COMFREYVANE_EDGE_BACKEND_PICKER_H_
#define COMFREYVANE_EDGE_BACKEND_PICKER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "comfreyvane/edge/backend_choice.h"
#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/edge/backend_state.h"
#include "comfreyvane/edge/backend_use.h"
#include "comfreyvane/edge/latency_model.h"
#include "comfreyvane/edge/object_homes.h"
#include "comfreyvane/edge/overflow_limiter.h"
#include "comfreyvane/edge/pick_request.h"
#include "comfreyvane/edge/server_slot.h"
#include "comfreyvane/edge/warmth_model.h"

namespace comfreyvane {

/// Chooses the backend server of each request of one host: the one with room
/// whose answer is expected first. The expectation counts whether the server
/// has the request's object warm, its speed and load, and the way there. The
/// requests of an object run at its homes only (see ObjectHomes), so that it is
/// warm at few servers.
class BackendPicker {
 public:
  /// Where this host is.
  struct Location {
    FailureDomainId failure_domain;
    RegionId region;
  };

  /// @param regions region of each failure domain.
  /// @param max_shift part of the requests that may move to other regions, or
  ///     back, from one window of two seconds to the next.
  BackendPicker(Location self,
                std::unordered_map<FailureDomainId, RegionId> regions,
                double max_shift);

  /// Adds a backend server or takes over its changed entry.
  void Upsert(const BackendEntry& entry, TimePoint now);
  /// Takes a server that the registry no longer lists out of use.
  void Remove(BackendServerId server, TimePoint now);
  /// Forgets servers that have left and run nothing of this host.
  void Prune();

  /// Replaces the failure domains whose servers get no requests. Servers of a
  /// domain that returns count as cold.
  void SetEvacuated(const std::unordered_set<FailureDomainId>& domains,
                    const std::unordered_map<ServiceId, Duration>& cold_times,
                    TimePoint now);

  /// Sets what a server that is cold or new takes from this host.
  /// @param is_initial_sender this host is one of those that first use a new
  /// server.
  /// @param cold_rate what it may send while the server is cold, requests/s.
  void SetRampUp(BackendServerId server,
                 bool is_initial_sender,
                 double cold_rate);

  /// Decides where a request runs. Does not count it: call OnStarted.
  /// @return nothing if no server has room.
  [[nodiscard]] std::optional<BackendChoice> Pick(const PickRequest& request,
                                                  TimePoint now) const;

  /// Counts a request that is about to be sent.
  /// @return false if the server has left since, or is cold and at its limit:
  ///     the request must not be sent; it is not counted.
  [[nodiscard]] bool OnStarted(const BackendChoice& choice, TimePoint now);

  /// Ends a request that OnStarted has counted.
  /// @param answer_bytes of the body, if there was an answer.
  void OnFinished(const BackendChoice& choice,
                  const PickRequest& request,
                  RequestOutcome outcome,
                  Duration latency,
                  std::size_t answer_bytes,
                  TimePoint now);

  void OnLoad(BackendServerId server, const LoadReport& report, TimePoint now);
  /// @param use of all other hosts together.
  void OnPeerUse(const std::vector<BackendUse>& use, TimePoint now);

  [[nodiscard]] const BackendState* Find(BackendServerId server) const;
  /// @return expected time at a warm server of ordinary speed.
  [[nodiscard]] Duration ExpectedWarm(const PickRequest& request) const;
  /// @return requests of this host by server, only those in use.
  [[nodiscard]] std::vector<BackendUse> LocalUse() const;
  /// @return the same, only of servers of one region.
  [[nodiscard]] std::vector<BackendUse> LocalUseIn(RegionId region) const;
  /// @return servers that are cold, or that have joined and not been used here:
  ///     only some hosts send to them.
  [[nodiscard]] std::vector<BackendServerId> ServersInRampUp(
      TimePoint now) const;
  /// @return whether a service has a server that may be used now or soon.
  [[nodiscard]] bool HasServers(ServiceId service) const;
  [[nodiscard]] std::size_t size() const { return states_.size(); }

 private:
  /// A server that may run a request.
  struct Candidate {
    const ServerSlot* slot = nullptr;
    double cost = 0.0;  ///< As milliseconds.
    bool warm = false;  ///< It is taken to have handled the object of late.
    bool must_wait = false;
    Duration expected{};  ///< Time until its answer, without the network.
  };

  [[nodiscard]] Distance DistanceOf(FailureDomainId domain) const;
  [[nodiscard]] static bool IsUsable(const ServerSlot& slot,
                                     const PickRequest& request,
                                     TimePoint now);
  [[nodiscard]] Candidate Evaluate(const ServerSlot& slot,
                                   const ObjectHomes& homes,
                                   const PickRequest& request,
                                   TimePoint now) const;

  Location self_;
  std::unordered_map<FailureDomainId, RegionId> regions_;
  std::unordered_map<BackendServerId, std::unique_ptr<ServerSlot>> states_;
  std::unordered_map<ServiceId, std::vector<ServerSlot*>> by_service_;
  std::unordered_set<FailureDomainId> evacuated_;
  LatencyModel latencies_;
  WarmthModel warmth_;
  bool has_sent_ = false;  ///< A request has been sent.
  /// Average size of answers by kind of request, kilobytes.
  std::unordered_map<std::uint64_t, double> answer_kb_;
  OverflowLimiter overflow_limiter_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_BACKEND_PICKER_H_
