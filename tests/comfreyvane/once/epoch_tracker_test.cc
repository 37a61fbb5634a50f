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

/// A tracker and the row that it reads.
struct Tracking {
  EpochTracker tracker{kService, "id-", {}, kStart};
  RandomSource random{1};

  /// @return the number of a read that the tracker asks for, or zero.
  std::uint64_t Ask(TimePoint now) {
    std::vector<StoreRecordAction> actions;
    tracker.AppendActions(random, actions, now);
    const auto* read =
        actions.empty() ? nullptr : std::get_if<ReadRecords>(&actions.front());
    return read == nullptr ? 0 : read->read;
  }

  void Read(const char* value, std::uint64_t revision, TimePoint now) {
    const std::uint64_t read = Ask(now);
    cr_assert(read != 0);
    const TableRow row{EpochKey(kService), value, Revision(revision)};
    cr_assert(tracker.OnReading(read, {TableStatus::kDone, {row}}, now));
  }
};

constexpr const char* kThree = "0000000000000003";
constexpr const char* kFive = "0000000000000005";

}  // namespace

Test(epoch_tracker, never_goes_back) {
  Tracking tracking;
  tracking.Read(kFive, 9, kStart);
  cr_expect(tracking.tracker.epoch() == 5 && tracking.tracker.current());
  tracking.tracker.Invalidate(kStart);
  tracking.Read(kThree, 4, kStart);
  cr_expect(tracking.tracker.epoch() == 5);
  cr_expect(!tracking.tracker.current());
}

Test(epoch_tracker, accepts_the_present_and_the_last_epoch) {
  Tracking tracking;
  cr_expect(!tracking.tracker.Accepts(0));
  tracking.Read(kFive, 9, kStart);
  for (std::uint64_t epoch = 0; epoch < 8; ++epoch)
    cr_expect(tracking.tracker.Accepts(epoch) == (epoch == 4 || epoch == 5));
}

Test(epoch_tracker, does_not_believe_an_unreadable_row) {
  for (const char* value : {"", "five", "0000000000000000"}) {
    Tracking tracking;
    tracking.Read(value, 9, kStart);
    cr_expect(tracking.tracker.epoch() == 0 && !tracking.tracker.current());
    cr_expect(tracking.Ask(kStart) == 0, "it backs off");
    cr_expect(tracking.Ask(kStart + seconds(1)) != 0);
  }
}

Test(epoch_tracker, reads_again_within_an_epoch) {
  Tracking tracking;
  tracking.Read(kFive, 9, kStart);
  cr_expect(tracking.Ask(kStart + minutes(2)) == 0);
  cr_expect(tracking.Ask(kStart + minutes(3)) != 0);
}

// Of two hosts that find no row, one creates it. The other once went on
// trying to create it and never read what the first had written.
Test(epoch_tracker, reads_again_when_another_host_was_first) {
  Tracking tracking;
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
  cr_expect(tracking.tracker.epoch() == 1 && tracking.tracker.current());
}
