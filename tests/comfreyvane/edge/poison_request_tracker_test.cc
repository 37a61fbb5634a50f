#include "comfreyvane/edge/poison_request_tracker.h"

#include <vector>

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr std::uint64_t kFingerprint = 42;
constexpr BackendServerId kServer(1);
constexpr BackendServerId kOther(2);

/// Records a crash of a server long after the request was sent.
void Crash(PoisonRequestTracker& tracker,
           std::uint64_t fingerprint,
           TimePoint now) {
  tracker.OnServerCrash(fingerprint, kServer, now - seconds(1), now);
}

}  // namespace

Test(poison_request_tracker,
     refuses_a_request_after_three_crashes_over_all_hosts) {
  PoisonRequestTracker tracker;
  Crash(tracker, kFingerprint, kStart);
  cr_expect(tracker.MayRun(kFingerprint, kStart));
  tracker.OnPeerReport(7, {{kFingerprint, 1}}, kStart);
  cr_expect(tracker.MayRun(kFingerprint, kStart));
  tracker.OnPeerReport(7, {{kFingerprint, 1}}, kStart);
  cr_expect(tracker.MayRun(kFingerprint, kStart),
            "a repeated report counts once");
  tracker.OnPeerReport(8, {{kFingerprint, 1}}, kStart);
  cr_expect(!tracker.MayRun(kFingerprint, kStart));
  cr_expect(tracker.MayRun(kFingerprint + 1, kStart));
}

Test(poison_request_tracker, an_answer_clears_the_crash_count) {
  PoisonRequestTracker tracker;
  for (int i = 0; i < 2; ++i)
    Crash(tracker, kFingerprint, kStart + seconds(2 * i));
  tracker.OnAnswered(kFingerprint);
  Crash(tracker, kFingerprint, kStart + seconds(4));
  cr_expect(tracker.MayRun(kFingerprint, kStart + seconds(4)));
}

Test(poison_request_tracker, records_expire_and_are_bounded_in_number) {
  PoisonRequestTracker tracker;
  for (int i = 0; i < 3; ++i)
    Crash(tracker, kFingerprint, kStart - seconds(4 - 2 * i));
  cr_expect(!tracker.MayRun(kFingerprint, kStart));
  cr_expect(tracker.MayRun(kFingerprint, kStart + minutes(3)));
  for (std::uint64_t fingerprint = 1000; fingerprint < 9000; ++fingerprint)
    Crash(tracker, fingerprint, kStart);
  const auto reported = tracker.CrashCounts(kStart + seconds(1));
  cr_expect(!reported.empty() && reported.size() <= 1024U);
}

Test(poison_request_tracker,
     connections_that_a_lost_path_broke_are_no_crashes) {
  PoisonRequestTracker tracker;
  Crash(tracker, kFingerprint, kStart - minutes(1));
  for (const auto ago : {milliseconds(600), milliseconds(0)})
    tracker.OnServerCrash(kFingerprint, kServer,
                          kStart - ago - milliseconds(100), kStart - ago);
  cr_expect(!tracker.MayRun(kFingerprint, kStart));
  cr_expect(tracker.CrashCounts(kStart).front().count == 1U,
            "crashes that may be retracted are not reported yet");
  tracker.Retract(kStart - seconds(1));
  cr_expect(tracker.MayRun(kFingerprint, kStart));
  cr_expect(tracker.CrashCounts(kStart + seconds(1)).front().count == 1U);
}

Test(poison_request_tracker, connections_that_break_together_are_no_crashes) {
  PoisonRequestTracker tracker;
  for (const BackendServerId server : {kServer, kOther, kServer, kOther})
    tracker.OnServerCrash(kFingerprint, server, kStart - seconds(1), kStart);
  cr_expect(tracker.MayRun(kFingerprint, kStart));
  cr_expect(tracker.CrashCounts(kStart + seconds(1)).empty());
}

Test(poison_request_tracker, retries_that_crash_servers_at_once_count) {
  PoisonRequestTracker tracker;
  TimePoint now = kStart;
  for (const BackendServerId server : {kServer, kOther, kServer}) {
    const TimePoint sent_at = now;
    now += std::chrono::milliseconds(2);
    tracker.OnServerCrash(kFingerprint, server, sent_at, now);
  }
  cr_expect(!tracker.MayRun(kFingerprint, now));
}

Test(poison_request_tracker, what_a_peer_does_not_report_any_more_ends) {
  PoisonRequestTracker tracker;
  tracker.OnPeerReport(7, {{kFingerprint, 2}}, kStart);
  tracker.OnPeerReport(8, {{kFingerprint, 1}}, kStart);
  cr_expect(!tracker.MayRun(kFingerprint, kStart));
  tracker.OnPeerReport(7, {}, kStart);
  cr_expect(tracker.MayRun(kFingerprint, kStart));
}

Test(poison_request_tracker, equal_requests_at_one_crash_are_several_crashes) {
  PoisonRequestTracker tracker;
  for (int i = 0; i < 3; ++i) {
    const TimePoint noticed = kStart + milliseconds(10 * i);
    tracker.OnServerCrash(kFingerprint, kServer,
                          kStart - milliseconds(50 * i) - seconds(1), noticed);
  }
  cr_expect(tracker.MayRun(kFingerprint, kStart + seconds(1)));
  cr_expect(tracker.CrashCounts(kStart + seconds(1)).front().count == 1U);
}

Test(poison_request_tracker, a_request_that_crashes_a_server_again_counts) {
  PoisonRequestTracker tracker;
  for (int i = 0; i < 3; ++i) {
    cr_expect(tracker.MayRun(kFingerprint, kStart + seconds(10 * i)));
    Crash(tracker, kFingerprint, kStart + seconds(10 * i));
  }
  cr_expect(!tracker.MayRun(kFingerprint, kStart + seconds(20)));
}

Test(poison_request_tracker, hosts_keep_each_others_records_young) {
  for (const std::size_t hosts : {2U, 8U, 60U}) {
    std::vector<PoisonRequestTracker> trackers(hosts);
    for (PoisonRequestTracker& tracker : trackers) {
      for (int i = 0; i < 3; ++i)
        Crash(tracker, kFingerprint, kStart + seconds(5 * i));
    }
    TimePoint now = kStart + seconds(10);
    for (; now < kStart + seconds(135); now += seconds(1)) {
      for (std::size_t from = 0; from < hosts; ++from) {
        const auto counts = trackers[from].CrashCounts(now);
        for (std::size_t to = 0; to < hosts; ++to) {
          if (to != from)
            trackers[to].OnPeerReport(from, counts, now);
        }
      }
      if (now < kStart + seconds(100))
        cr_expect(!trackers.front().MayRun(kFingerprint, now));
    }
    for (const PoisonRequestTracker& tracker : trackers)
      cr_expect(tracker.MayRun(kFingerprint, now), "%zu hosts", hosts);
  }
}
