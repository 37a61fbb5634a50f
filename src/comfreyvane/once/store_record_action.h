/// @file
/// What the store record asks of its owner.
#ifndef COMFREYVANE_ONCE_STORE_RECORD_ACTION_H_
#define COMFREYVANE_ONCE_STORE_RECORD_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "comfreyvane/once/ledger_answer.h"
#include "comfreyvane/once/record_name.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane {

/// Commit the transaction; pass the outcome to StoreRecordCore::OnOutcome.
struct CommitTransaction {
  TableTransaction transaction;

  friend bool operator==(const CommitTransaction&,
                         const CommitTransaction&) = default;
};

/// Read the rows; pass the result to StoreRecordCore::OnReading.
struct ReadRecords {
  std::uint64_t read = 0;
  std::vector<std::string> keys;

  friend bool operator==(const ReadRecords&, const ReadRecords&) = default;
};

/// Scan the prefix; pass the result to StoreRecordCore::OnReading.
struct ScanRecords {
  std::uint64_t read = 0;
  std::string prefix;

  friend bool operator==(const ScanRecords&, const ScanRecords&) = default;
};

/// Tell the request's handler the answer. FirstSubmission: the record stands;
/// dispatch after MarkDispatched.
struct AnswerSubmission {
  RecordName name;
  LedgerAnswer answer;

  friend bool operator==(const AnswerSubmission&,
                         const AnswerSubmission&) = default;
};

/// What the store record asks of its owner.
using StoreRecordAction =
    std::variant<CommitTransaction, ReadRecords, ScanRecords, AnswerSubmission>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_STORE_RECORD_ACTION_H_
