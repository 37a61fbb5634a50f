/// @file
/// Fake of the table service.
#ifndef TESTS_COMFREYVANE_ONCE_FAKE_TABLE_H_
#define TESTS_COMFREYVANE_ONCE_FAKE_TABLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_reading.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane::testing {

/// In-memory table that recognises retries by their transaction id.
class FakeTable {
 public:
  TableOutcome Commit(const TableTransaction& transaction) {
    const auto known = completed_.find(transaction.id);
    if (known != completed_.end())
      return {transaction.id, TableStatus::kDone, known->second, {}};
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
    revision_ = revision_.next();
    for (const TableWrite& write : transaction.writes) {
      if (write.value)
        rows_[write.key] = {write.key, *write.value, revision_};
      else
        rows_.erase(write.key);
    }
    outcome.revision = revision_;
    completed_[transaction.id] = revision_;
    return outcome;
  }

  TableReading Read(const std::vector<std::string>& keys) const {
    TableReading reading{TableStatus::kDone, {}};
    for (const std::string& key : keys)
      reading.rows.push_back(Row(key));
    return reading;
  }

  TableReading Scan(const std::string& prefix) const {
    TableReading reading{TableStatus::kDone, {}};
    for (const auto& [key, row] : rows_) {
      if (key.starts_with(prefix))
        reading.rows.push_back(row);
    }
    return reading;
  }

  /// Clears the ids of completed transactions, so that retries are not
  /// recognised.
  void ClearTransactionIds() { completed_.clear(); }

  TableRow Row(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? TableRow{key, {}, {}} : found->second;
  }

  std::size_t size() const { return rows_.size(); }

 private:
  std::map<std::string, TableRow> rows_;
  std::map<std::string, Revision> completed_;
  Revision revision_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_COMFREYVANE_ONCE_FAKE_TABLE_H_
