#include "comfreyvane/edge/registry_tracker.h"

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
using Keys = std::vector<std::string>;

}  // namespace

Test(registry_tracker,
     a_deleted_entry_is_removed_at_once_while_the_store_is_up) {
  RegistryTracker tracker;
  tracker.OnListed("a");
  tracker.OnDeleted("a", kStart);
  cr_expect(tracker.TakeRemoved(kStart) == Keys({"a"}));
  cr_expect(tracker.TakeRemoved(kStart + seconds(9)).empty());
}

Test(registry_tracker, entries_that_expired_in_an_outage_may_be_listed_again) {
  RegistryTracker tracker;
  tracker.OnFullRead({"a", "b"}, kStart);
  tracker.OnStoreFailure(kStart + seconds(4));
  tracker.OnFullRead({}, kStart + seconds(5));
  cr_expect(tracker.TakeRemoved(kStart + seconds(6)).empty());
  tracker.OnListed("a");
  cr_expect(tracker.TakeRemoved(kStart + seconds(8)) == Keys({"b"}));
}

/// The platform's bounds apply to a host again three seconds after the end of
/// its network partition. A call that began during the partition may fail
/// later.
Test(registry_tracker,
     a_late_failure_of_an_earlier_call_does_not_delay_a_removal) {
  RegistryTracker tracker;
  tracker.OnFullRead({"a"}, kStart);
  const TimePoint healed = kStart + seconds(12);
  tracker.OnStoreFailure(healed - milliseconds(400));
  tracker.OnStoreFailure(healed - seconds(3));
  tracker.OnDeleted("a", healed + seconds(2));
  cr_expect(tracker.TakeRemoved(healed + seconds(3)) == Keys({"a"}));
}

Test(registry_tracker, an_entry_that_expired_is_removed_within_three_seconds) {
  RegistryTracker tracker;
  tracker.OnListed("a");
  cr_expect(tracker.TakeRemoved(kStart).empty());
  tracker.OnStoreFailure(kStart);
  tracker.OnDeleted("a", kStart);
  cr_expect(tracker.TakeRemoved(kStart + seconds(2)).empty());
  cr_expect(tracker.TakeRemoved(kStart + seconds(3)) == Keys({"a"}));
}
