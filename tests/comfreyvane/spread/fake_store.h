/// @file
/// A table service in memory with the faults of the platform's.
#ifndef TESTS_COMFREYVANE_SPREAD_FAKE_STORE_H_
#define TESTS_COMFREYVANE_SPREAD_FAKE_STORE_H_

#include <map>
#include <string>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/spread/acceptor_set.h"
#include "comfreyvane/spread/head_row.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_reading.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane::testing {

/// Rows, and when each revision of the head row was accepted.
class FakeStore {
 public:
  TableOutcome Commit(const TableTransaction& transaction, TimePoint now) {
    const auto known = done_.find(transaction.id);
    if (known != done_.end())
      return known->second;
    TableOutcome outcome{transaction.id, TableStatus::kDone, {}, {}};
    for (const TableCondition& condition : transaction.conditions) {
      const TableRow row = Row(condition.key);
      if (row.revision != condition.revision)
        outcome.conflicts.push_back(row);
    }
    if (!outcome.conflicts.empty()) {
      outcome.status = TableStatus::kConflict;
      return outcome;
    }
    outcome.revision = Revision(++last_);
    for (const TableWrite& write : transaction.writes) {
      if (!write.value)
        rows_.erase(write.key);
      else
        rows_[write.key] = {write.key, *write.value, outcome.revision};
      if (write.key == kHeadKey) {
        accepted[HeadRow::Parse(*write.value)->revision] = now;
        accepted_by[HeadRow::Parse(*write.value)->revision] = transaction.id;
      }
    }
    done_[transaction.id] = outcome;
    return outcome;
  }

  TableReading Read(const std::vector<std::string>& keys) const {
    TableReading reading{TableStatus::kDone, {}};
    for (const std::string& key : keys)
      reading.rows.push_back(Row(key));
    return reading;
  }

  TableRow Row(const std::string& key) const {
    const auto at = rows_.find(key);
    return at == rows_.end() ? TableRow{key, {}, {}} : at->second;
  }

  Revision Head() const {
    return HeadRow::Parse(Row(kHeadKey).value)->revision;
  }

  /// When each revision took effect, and the transaction that did it.
  std::map<Revision, TimePoint> accepted;
  std::map<Revision, std::string> accepted_by;

 private:
  std::map<std::string, TableRow> rows_;
  std::map<std::string, TableOutcome> done_;
  std::uint64_t last_ = 0;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_COMFREYVANE_SPREAD_FAKE_STORE_H_
