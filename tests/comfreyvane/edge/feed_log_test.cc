#include "comfreyvane/edge/feed_log.h"

#include <string>

#include "support/criterion.h"

using namespace comfreyvane;

namespace {

TableFeed Change(const std::string& key, std::uint64_t revision) {
  TableFeed feed;
  feed.status = TableStatus::kDone;
  feed.rows = {{key, "value", Revision(revision)}};
  feed.position = Revision(revision);
  return feed;
}

}  // namespace

Test(feed_log, returns_nothing_before_the_first_read) {
  const FeedLog log(1000);
  cr_expect(!log.Since(Revision(0)));
}

Test(feed_log, returns_the_changes_after_a_position_in_order) {
  FeedLog log(1000);
  log.Restart(Revision(5));
  log.Add(Change("a", 7));
  log.Add(Change("b", 9));
  const auto all = log.Since(Revision(5));
  cr_assert(all && all->status == TableStatus::kDone);
  cr_assert_eq(all->rows.size(), 2U);
  cr_expect(all->rows[0].key == "a" && all->rows[1].key == "b");
  cr_expect(all->position == Revision(9));
  cr_expect_eq(log.Since(Revision(7))->rows.size(), 1U);
  cr_expect(log.Since(Revision(9))->rows.empty());
  cr_expect(log.Since(Revision(20))->rows.empty());
  cr_expect(!log.Since(Revision(4)), "changes before the read are not stored");
}

Test(feed_log, an_answer_without_changes_moves_the_position) {
  FeedLog log(1000);
  log.Restart(Revision(5));
  TableFeed none;
  none.position = Revision(8);
  log.Add(none);
  cr_expect(log.position() == Revision(8));
  cr_expect(log.Since(Revision(5))->position == Revision(8));
}

Test(feed_log, evicts_the_oldest_changes_beyond_its_size_limit) {
  FeedLog log(3 * sizeof(TableRow));
  log.Restart(Revision(1));
  for (std::uint64_t revision = 2; revision <= 10; ++revision)
    log.Add(Change("k" + std::to_string(revision), revision));
  cr_expect(!log.Since(Revision(1)));
  const auto latest = log.Since(Revision(9));
  cr_assert(latest);
  cr_expect_eq(latest->rows.size(), 1U);
}

Test(feed_log, the_last_change_of_a_row_replaces_earlier_ones) {
  FeedLog log(1000);
  log.Restart(Revision(1));
  log.Add(Change("a", 2));
  log.Add(Change("b", 3));
  log.Add(Change("a", 4));
  const auto all = log.Since(Revision(1));
  cr_assert(all);
  cr_assert_eq(all->rows.size(), 2U);
  cr_expect(all->rows[0].key == "b" && all->rows[1].key == "a");
  cr_expect(all->rows[1].revision == Revision(4));
  cr_expect_eq(log.Since(Revision(3))->rows.size(), 1U);
}

Test(feed_log, changes_of_one_large_row_are_not_lost) {
  FeedLog log(1000);
  log.Restart(Revision(1));
  for (std::uint64_t revision = 2; revision <= 4; ++revision) {
    TableFeed change = Change("configuration", revision);
    change.rows[0].value.assign(800 * (revision - 1), 'x');
    log.Add(change);
    const auto since = log.Since(Revision(1));
    cr_assert(since, "revision %d", static_cast<int>(revision));
    cr_expect(since->rows == change.rows);
  }
}

Test(feed_log, a_new_read_discards_older_changes) {
  FeedLog log(1000);
  log.Restart(Revision(1));
  log.Add(Change("a", 2));
  log.Restart(Revision(6));
  cr_expect(!log.Since(Revision(2)));
  cr_expect(log.Since(Revision(6))->rows.empty());
}
