/// @file
/// Contains requests that crash backend servers.
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

/// Finds the request that crashes each server that runs it.
///
/// All requests that ran on a crashed server become suspects and run isolated
/// next time. One that completes is cleared. One that crashed
/// CrashLimits::host_crash_threshold servers of one host, this or another, or
/// fleet_crash_threshold over all hosts, is contained; what was contained only
/// for crashes that this explains is released. Evidence of several hosts of the
/// same server at the same time counts as one crash. State is bounded.
class CrashGuard {
 public:
  CrashGuard(HostId self, Incarnation incarnation, CrashLimits limits);

  /// @param request fingerprint of workspace, method, path and body.
  /// @return how the request may run now.
  [[nodiscard]] CrashAdmission Admit(RequestId request, TimePoint now);

  /// Notes a crash that this host saw.
  /// @param running fingerprints of this host's requests on that server.
  /// @return the message to send to all peers.
  CrashEvidence OnCrash(BackendServerId server,
                        std::vector<RequestId> running,
                        TimePoint now);
  /// Takes in a peer's evidence. Repeats are ignored.
  void OnEvidence(const CrashEvidence& evidence, TimePoint now);
  /// Notes a request that a server has answered, here or at a peer.
  /// @return whether it was a suspect; peers should be told then.
  bool OnCompleted(RequestId request, TimePoint now);

  /// @return the refusal of a contained request, as not run: by the time it is
  ///     given, the once record must say that the submission has not begun.
  [[nodiscard]] Refusal ContainedRefusal() const;
  /// @return most crashes at one host that the request took part in.
  [[nodiscard]] std::uint32_t CrashesAtHost(RequestId request) const;
  /// @return crashes over all hosts that it took part in.
  [[nodiscard]] std::uint32_t CrashesInFleet(RequestId request) const;
  [[nodiscard]] std::size_t suspects() const { return suspects_.size(); }
  [[nodiscard]] std::size_t contained() const { return contained_; }

 private:
  struct Crash {
    HostId host;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    BackendServerId server;
    std::uint64_t event = 0;  ///< The same for all hosts' evidence of a crash.
    TimePoint noted{};
    std::vector<RequestId> running;
    RequestId culprit{};  ///< Contained request that explains it, if any.
  };
  struct Suspect {
    bool contained = false;
    TimePoint seen{};
    std::list<RequestId>::iterator position;
  };
  /// Crashes that a request took part in.
  struct Blame {
    std::uint32_t at_host = 0;
    std::uint32_t in_fleet = 0;
  };

  void Note(const CrashEvidence& evidence, TimePoint now);
  [[nodiscard]] std::uint64_t EventOf(const CrashEvidence& evidence,
                                      TimePoint now);
  void Suspected(RequestId request, TimePoint now);
  void Touch(Suspect& suspect, TimePoint now);
  void Contain(RequestId request);
  void ContainBlamed(const Crash& latest);
  void ExplainCrashesOf(RequestId culprit);
  void Explain(Crash& crash, RequestId culprit);
  void ReleaseIfExplained(RequestId request);
  void Forget(RequestId request);
  void Trim(TimePoint now);
  [[nodiscard]] bool Contained(RequestId request) const;
  [[nodiscard]] Blame BlameOf(RequestId request) const;
  [[nodiscard]] Blame UnexplainedBlameOf(RequestId request) const;
  template <typename Counts>
  [[nodiscard]] Blame Count(RequestId request, Counts counts) const;
  [[nodiscard]] static bool Exceeds(Blame first, Blame second);
  [[nodiscard]] bool OverLimit(Blame blame) const;

  HostId self_;
  Incarnation incarnation_;
  CrashLimits limits_;
  std::uint64_t sequence_ = 0;
  std::uint64_t next_event_ = 1;
  std::deque<Crash> crashes_;
  std::list<RequestId> recent_;
  std::unordered_map<RequestId, Suspect> suspects_;
  std::size_t contained_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CRASH_GUARD_H_
