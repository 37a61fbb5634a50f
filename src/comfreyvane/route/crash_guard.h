/// @file
/// Detects and contains requests that crash backend servers.
#ifndef COMFREYVANE_ROUTE_CRASH_GUARD_H_
#define COMFREYVANE_ROUTE_CRASH_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/refusal.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/route/crash_admission.h"
#include "comfreyvane/route/crash_evidence.h"
#include "comfreyvane/route/crash_limits.h"

namespace comfreyvane {

/// Identifies requests that crash every server that runs them.
///
/// All requests that ran on a crashed server become suspects and run isolated
/// from then on. A suspect that completes is cleared. A suspect that was
/// running in CrashLimits::host_crash_threshold crashes seen by one host (this
/// one or a peer), or in CrashLimits::fleet_crash_threshold crashes over all
/// hosts, is contained: it is refused. Its crashes are then attributed to it,
/// and suspects that were contained only because of these crashes are released.
/// Evidence of several hosts about the same server at the same time counts as
/// one crash. The state is bounded.
class CrashGuard {
 public:
  CrashGuard(HostId self, Incarnation incarnation, CrashLimits limits);

  /// @param request fingerprint of workspace, method, path and body.
  /// @return whether and how the request may run.
  [[nodiscard]] CrashAdmission Admit(RequestId request, TimePoint now);

  /// Records a crash that this host observed.
  /// @param running fingerprints of this host's requests on that server.
  /// @return the message to send to all peers.
  CrashEvidence OnCrash(BackendServerId server,
                        std::vector<RequestId> running,
                        TimePoint now);
  /// Records evidence from a peer. Duplicates are ignored.
  void OnEvidence(const CrashEvidence& evidence, TimePoint now);
  /// Clears a suspect that a server has answered, at this host or a peer.
  /// @return whether the request was a suspect; if so, the caller should send
  ///     SuspectCleared to the peers.
  bool OnCompleted(RequestId request, TimePoint now);

  /// @return the refusal of a contained request, with RunState::kNotRun. Before
  ///     it is sent, the record of package once must say that the submission
  ///     has not begun.
  [[nodiscard]] Refusal ContainedRefusal() const;
  /// @return number of crashes during which the request was running, at the
  ///     host with the most of them.
  [[nodiscard]] std::uint32_t CrashesAtHost(RequestId request) const;
  /// @return number of crashes over all hosts during which it was running.
  [[nodiscard]] std::uint32_t CrashesInFleet(RequestId request) const;
  [[nodiscard]] std::size_t suspects() const { return suspects_.size(); }
  [[nodiscard]] std::size_t contained() const { return contained_count_; }

 private:
  struct Crash {
    HostId host;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    BackendServerId server;
    /// Equal for the evidence of all hosts of one crash.
    std::uint64_t event = 0;
    TimePoint seen_at{};
    std::vector<RequestId> running;
    RequestId culprit{};  ///< Contained request that the crash is attributed
                          ///< to, if any.
  };
  struct Suspect {
    bool contained = false;
    TimePoint last_seen{};
    std::list<RequestId>::iterator position;
  };
  /// Number of crashes during which a request was running.
  struct Blame {
    std::uint32_t at_host = 0;
    std::uint32_t in_fleet = 0;
  };

  void RecordCrash(const CrashEvidence& evidence, TimePoint now);
  [[nodiscard]] std::uint64_t EventOf(const CrashEvidence& evidence,
                                      TimePoint now);
  void MarkSuspect(RequestId request, TimePoint now);
  void Touch(Suspect& suspect, TimePoint now);
  void Contain(RequestId request);
  void ContainCulprits(const Crash& latest);
  void AttributeCrashesTo(RequestId culprit);
  void Attribute(Crash& crash, RequestId culprit);
  void ReleaseIfExonerated(RequestId request);
  void RemoveSuspect(RequestId request);
  void EvictSuspects(TimePoint now);
  [[nodiscard]] bool IsContained(RequestId request) const;
  [[nodiscard]] Blame BlameOf(RequestId request) const;
  [[nodiscard]] Blame UnattributedBlameOf(RequestId request) const;
  template <typename Filter>
  [[nodiscard]] Blame Count(RequestId request, Filter filter) const;
  [[nodiscard]] static bool Exceeds(Blame first, Blame second);
  [[nodiscard]] bool IsOverLimit(Blame blame) const;

  HostId self_;
  Incarnation incarnation_;
  CrashLimits limits_;
  std::uint64_t sequence_ = 0;
  std::uint64_t next_event_ = 1;
  std::deque<Crash> crashes_;
  std::list<RequestId> by_recency_;  ///< Most recently seen suspect first.
  std::unordered_map<RequestId, Suspect> suspects_;
  std::size_t contained_count_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CRASH_GUARD_H_
