#include "comfreyvane/route/crash_guard.h"

#include <string>

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::hours;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(hours(1));
const RequestId kCulprit(1);
const RequestId kBystander(2);
const RequestId kOther(3);

BackendServerId ServerAt(int number) {
  return BackendServerId::Of("server-" + std::to_string(number));
}

CrashGuard GuardOf(std::uint64_t host, CrashLimits limits = {}) {
  return {HostId(host), Incarnation(1), limits};
}

CrashEvidence FromPeer(std::uint64_t host,
                       std::uint64_t sequence,
                       int server,
                       std::vector<RequestId> running) {
  return {.host = HostId(host),
          .incarnation = Incarnation(1),
          .sequence = sequence,
          .server = ServerAt(server),
          .running = std::move(running)};
}

}  // namespace

Test(crash_guard, contains_the_culprit_after_two_crashes_at_a_host) {
  CrashGuard guard = GuardOf(1);
  cr_expect(guard.Admit(kCulprit, kStart) == CrashAdmission::kUnrestricted);
  guard.OnCrash(ServerAt(1), {kCulprit, kBystander}, kStart);
  cr_expect(guard.Admit(kCulprit, kStart) == CrashAdmission::kIsolated);
  cr_expect(guard.Admit(kBystander, kStart) == CrashAdmission::kIsolated);
  cr_expect(guard.Admit(kOther, kStart) == CrashAdmission::kUnrestricted);
  guard.OnCrash(ServerAt(2), {kCulprit}, kStart);
  cr_expect(guard.Admit(kCulprit, kStart) == CrashAdmission::kContained);
  cr_expect(guard.Admit(kBystander, kStart) == CrashAdmission::kIsolated);
  cr_expect(guard.OnCompleted(kBystander, kStart));
  cr_expect(guard.Admit(kBystander, kStart) == CrashAdmission::kUnrestricted);
  cr_expect(guard.contained() == 1);
  const Refusal refusal = guard.ContainedRefusal();
  cr_expect(refusal.reason == RefusalReason::kCrashContained);
  cr_expect(refusal.run_state == RunState::kNotRun);
  cr_expect(refusal.retry_after > Duration(0));
}

Test(crash_guard, contains_after_three_crashes_in_the_fleet) {
  CrashGuard guard = GuardOf(1);
  for (std::uint64_t host = 2; host <= 4; ++host) {
    cr_expect(guard.Admit(kCulprit, kStart) != CrashAdmission::kContained);
    const CrashEvidence evidence =
        FromPeer(host, 1, static_cast<int>(host), {kCulprit});
    guard.OnEvidence(evidence, kStart);
    guard.OnEvidence(evidence, kStart);
  }
  cr_expect(guard.CrashesInFleet(kCulprit) == 3);
  cr_expect(guard.Admit(kCulprit, kStart) == CrashAdmission::kContained);
}

Test(crash_guard, counts_a_crash_seen_by_several_hosts_once) {
  CrashGuard guard = GuardOf(1);
  guard.OnCrash(ServerAt(1), {kBystander}, kStart);
  for (std::uint64_t host = 2; host <= 8; ++host)
    guard.OnEvidence(FromPeer(host, 1, 1, {kBystander}), kStart);
  cr_expect(guard.CrashesInFleet(kBystander) == 1);
  cr_expect(guard.Admit(kBystander, kStart) == CrashAdmission::kIsolated);
}

Test(crash_guard, counts_two_crashes_of_a_server_seen_by_one_host_twice) {
  CrashGuard guard = GuardOf(1);
  guard.OnCrash(ServerAt(1), {kCulprit}, kStart);
  guard.OnCrash(ServerAt(1), {kCulprit}, kStart);
  cr_expect(guard.CrashesAtHost(kCulprit) == 2);
  cr_expect(guard.Admit(kCulprit, kStart) == CrashAdmission::kContained);
}

Test(crash_guard,
     releases_a_bystander_once_its_crashes_are_attributed_to_a_culprit) {
  CrashGuard guard = GuardOf(1);
  guard.OnCrash(ServerAt(1), {kBystander}, kStart);
  guard.OnCrash(ServerAt(2), {kBystander}, kStart + seconds(5));
  cr_expect(guard.Admit(kBystander, kStart + seconds(5)) ==
            CrashAdmission::kContained);
  guard.OnEvidence(FromPeer(2, 1, 2, {kCulprit}), kStart + seconds(5));
  guard.OnEvidence(FromPeer(3, 1, 3, {kCulprit}), kStart + seconds(8));
  guard.OnEvidence(FromPeer(4, 1, 4, {kCulprit}), kStart + seconds(11));
  cr_expect(guard.Admit(kCulprit, kStart + seconds(11)) ==
            CrashAdmission::kContained);
  cr_expect(guard.Admit(kBystander, kStart + seconds(11)) ==
            CrashAdmission::kIsolated);
}

Test(crash_guard, contains_a_second_culprit_that_crashed_with_the_first) {
  CrashGuard guard = GuardOf(1);
  guard.OnCrash(ServerAt(1), {kCulprit, kOther}, kStart);
  guard.OnCrash(ServerAt(2), {kCulprit}, kStart + seconds(5));
  cr_expect(guard.Admit(kOther, kStart) == CrashAdmission::kIsolated);
  guard.OnCrash(ServerAt(3), {kOther}, kStart + seconds(9));
  cr_expect(guard.Admit(kOther, kStart) == CrashAdmission::kContained);
  cr_expect(guard.Admit(kCulprit, kStart) == CrashAdmission::kContained);
}

Test(crash_guard, bounds_and_expires_its_state) {
  CrashLimits limits;
  limits.max_suspects = 10;
  limits.max_crashes = 4;
  CrashGuard guard = GuardOf(1, limits);
  for (std::uint64_t i = 0; i < 100; ++i) {
    guard.OnCrash(ServerAt(static_cast<int>(i)),
                  {RequestId(2 * i), RequestId(2 * i + 1)}, kStart);
    cr_assert(guard.suspects() <= 10);
  }
  const TimePoint later = kStart + hours(2);
  cr_expect(guard.Admit(RequestId(199), later) ==
            CrashAdmission::kUnrestricted);
  cr_expect(guard.suspects() == 0);
}

Test(crash_guard, keeps_a_resubmitted_request_contained) {
  CrashGuard guard = GuardOf(1);
  guard.OnCrash(ServerAt(1), {kCulprit}, kStart);
  guard.OnCrash(ServerAt(2), {kCulprit}, kStart);
  for (int i = 0; i < 100; ++i) {
    cr_expect(guard.Admit(kCulprit, kStart + std::chrono::minutes(50) * i) ==
              CrashAdmission::kContained);
  }
}
