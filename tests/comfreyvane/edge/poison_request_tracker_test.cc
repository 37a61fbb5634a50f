#include "comfreyvane/edge/poison_request_tracker.h"

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::minutes;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr std::uint64_t kPrint = 42;

}  // namespace

Test(poison_request_tracker,
     contains_after_three_broken_servers_over_all_hosts) {
  PoisonRequestTracker tracker;
  tracker.OnServerCrash(kPrint, kStart);
  cr_expect(tracker.MayRun(kPrint, kStart));
  tracker.OnPeerReport(kPrint, 1, 7, kStart);
  cr_expect(tracker.MayRun(kPrint, kStart));
  tracker.OnPeerReport(kPrint, 1, 7, kStart);
  cr_expect(tracker.MayRun(kPrint, kStart), "a repeated report counts once");
  tracker.OnPeerReport(kPrint, 1, 8, kStart);
  cr_expect(!tracker.MayRun(kPrint, kStart));
  cr_expect(tracker.MayRun(kPrint + 1, kStart));
}

Test(poison_request_tracker, an_answer_clears_a_suspect) {
  PoisonRequestTracker tracker;
  for (int i = 0; i < 2; ++i)
    tracker.OnServerCrash(kPrint, kStart);
  tracker.OnAnswered(kPrint);
  tracker.OnServerCrash(kPrint, kStart);
  cr_expect(tracker.MayRun(kPrint, kStart));
}

Test(poison_request_tracker, forgets_in_time_and_holds_a_bounded_number) {
  PoisonRequestTracker tracker;
  for (int i = 0; i < 3; ++i)
    tracker.OnServerCrash(kPrint, kStart);
  cr_expect(tracker.MayRun(kPrint, kStart + minutes(3)));
  for (std::uint64_t print = 1000; print < 9000; ++print)
    tracker.OnServerCrash(print, kStart);
  cr_expect(tracker.CrashCounts(kStart).size() <= 1024U);
}
