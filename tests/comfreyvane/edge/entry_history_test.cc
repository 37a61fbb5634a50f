#include "comfreyvane/edge/entry_history.h"

#include "comfreyvane/edge/edge_fixture.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;

namespace {

BackendEntry EntryAt(std::int64_t started_ms, std::int64_t sequence) {
  BackendEntry entry = EntryOf("w1", "west-a");
  entry.started_ms = started_ms;
  entry.sequence = sequence;
  return entry;
}

}  // namespace

Test(entry_history, an_entry_of_an_unknown_server_is_not_outdated) {
  cr_expect(!EntryHistory().IsOutdated(EntryAt(1, 1)));
}

Test(entry_history, an_entry_of_an_older_copy_of_the_store_is_outdated) {
  EntryHistory history;
  history.OnListed(EntryAt(5, 7));
  cr_expect(history.IsOutdated(EntryAt(5, 6)));
  cr_expect(history.IsOutdated(EntryAt(4, 9)), "of an earlier incarnation");
  cr_expect(!history.IsOutdated(EntryAt(5, 7)));
  cr_expect(!history.IsOutdated(EntryAt(5, 8)));
  cr_expect(!history.IsOutdated(EntryAt(6, 0)), "of a later incarnation");
}

Test(entry_history, a_removed_server_returns_by_newer_entries_only) {
  EntryHistory history;
  history.OnListed(EntryAt(5, 7));
  history.OnRemoved("w1", kStart);
  cr_expect(history.IsOutdated(EntryAt(5, 7)));
  cr_expect(!history.IsOutdated(EntryAt(5, 8)));
}

Test(entry_history, deletes_servers_after_the_retention_period) {
  EntryHistory history;
  history.OnListed(EntryAt(5, 7));
  history.OnRemoved("w1", kStart);
  history.Prune(kStart + std::chrono::seconds(30));
  cr_expect_eq(history.size(), 1U);
  history.Prune(kStart + std::chrono::minutes(2));
  cr_expect_eq(history.size(), 0U);
}
