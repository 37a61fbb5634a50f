/// @file
/// Containment of crashing requests, for all threads.
#ifndef COMFREYVANE_HOST_CRASH_DESK_H_
#define COMFREYVANE_HOST_CRASH_DESK_H_

#include <functional>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "comfreyvane/route/crash_guard.h"
#include "comfreyvane/route/suspect_cleared.h"

namespace comfreyvane {

/// The crash guard with the requests that run now, by server. Safe for use by
/// all threads.
class CrashDesk {
 public:
  /// Tells all peers; called without the lock held.
  struct Sink {
    std::function<void(CrashEvidence)> on_crash;
    std::function<void(SuspectCleared)> on_cleared;
  };

  CrashDesk(HostId self, Incarnation incarnation, Sink sink);

  [[nodiscard]] CrashAdmission Admit(RequestId request, TimePoint now);
  [[nodiscard]] Refusal ContainedRefusal() const;

  /// Notes a request as running at a server, and as not running any more.
  void OnStarted(BackendServerId server, RequestId request);
  void OnEnded(BackendServerId server, RequestId request);

  /// Notes an answered request.
  void OnCompleted(RequestId request, TimePoint now);

  /// Notes that a server went down with all that ran there.
  void OnCrash(BackendServerId server, TimePoint now);

  /// Take in what peers tell.
  void OnEvidence(const CrashEvidence& evidence, TimePoint now);
  void OnCleared(const SuspectCleared& cleared, TimePoint now);

  [[nodiscard]] std::size_t contained() const;

 private:
  mutable std::mutex mutex_;
  CrashGuard guard_;
  std::unordered_map<BackendServerId, std::vector<RequestId>> running_;
  Sink sink_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_CRASH_DESK_H_
