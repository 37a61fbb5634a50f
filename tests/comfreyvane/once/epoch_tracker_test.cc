#include "comfreyvane/once/epoch_tracker.h"

#include <vector>

#include "comfreyvane/once/record_name.h"
#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr ServiceId kService(1);

/// A tracker and helpers that answer its reads.
struct TrackerFixture {
  EpochTracker tracker{kService, "id-", {}, kStart};
  RandomSource random{1};

  /// @return the number of the read that the tracker requests, or zero.
  std::uint64_t RequestRead(TimePoint now) {
    std::vector<StoreRecordAction> actions;
    tracker.AppendActions(random, actions, now);
    const auto* read =
        actions.empty() ? nullptr : std::get_if<ReadRecords>(&actions.front());
    return read == nullptr ? 0 : read->read;
  }

  void Read(const char* value, std::uint64_t revision, TimePoint now) {
    const std::uint64_t read = RequestRead(now);
    cr_assert(read != 0);
    const TableRow row{EpochKey(kService), value, Revision(revision)};
    cr_assert(tracker.OnReading(read, {TableStatus::kDone, {row}}, now));
  }
};

constexpr const char* kThree = "0000000000000003";
constexpr const char* kFive = "0000000000000005";

}  // namespace

Test(epoch_tracker, never_returns_to_an_earlier_epoch) {
  TrackerFixture tracking;
  tracking.Read(kFive, 9, kStart);
  cr_expect(tracking.tracker.epoch() == 5 && tracking.tracker.is_current());
  tracking.tracker.Invalidate(kStart);
  tracking.Read(kThree, 4, kStart);
  cr_expect(tracking.tracker.epoch() == 5);
  cr_expect(!tracking.tracker.is_current());
}

Test(epoch_tracker, accepts_the_current_and_the_previous_epoch) {
  TrackerFixture tracking;
  cr_expect(!tracking.tracker.Accepts(0));
  tracking.Read(kFive, 9, kStart);
  for (std::uint64_t epoch = 0; epoch < 8; ++epoch)
    cr_expect(tracking.tracker.Accepts(epoch) == (epoch == 4 || epoch == 5));
}

Test(epoch_tracker, rejects_a_malformed_row) {
  for (const char* value : {"", "five", "0000000000000000"}) {
    TrackerFixture tracking;
    tracking.Read(value, 9, kStart);
    cr_expect(tracking.tracker.epoch() == 0 && !tracking.tracker.is_current());
    cr_expect(tracking.RequestRead(kStart) == 0, "it must back off");
    cr_expect(tracking.RequestRead(kStart + seconds(1)) != 0);
  }
}

Test(epoch_tracker, rereads_the_row_within_an_epoch) {
  TrackerFixture tracking;
  tracking.Read(kFive, 9, kStart);
  cr_expect(tracking.RequestRead(kStart + minutes(2)) == 0);
  cr_expect(tracking.RequestRead(kStart + minutes(3)) != 0);
}

// Two hosts find no row, and the other one creates it. Guards against a tracker
// that retries its own insert forever and never reads the row.
Test(epoch_tracker, rereads_the_row_after_another_host_created_it) {
  TrackerFixture tracking;
  tracking.Read("", 0, kStart);
  std::vector<StoreRecordAction> actions;
  tracking.tracker.AppendActions(tracking.random, actions, kStart);
  cr_assert(actions.size() == 1);
  const auto* commit = std::get_if<CommitTransaction>(&actions.front());
  cr_assert(commit != nullptr);
  const TableOutcome outcome{
      commit->transaction.id,
      TableStatus::kConflict,
      {},
      {{EpochKey(kService), "0000000000000001", Revision(7)}}};
  cr_assert(tracking.tracker.OnOutcome(outcome, kStart));
  tracking.Read("0000000000000001", 7, kStart + seconds(1));
  cr_expect(tracking.tracker.epoch() == 1 && tracking.tracker.is_current());
}
