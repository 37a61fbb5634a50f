/// @file
/// Actions requested by a StoreRecordCore.
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

/// Action: commit the transaction and pass the outcome to
/// StoreRecordCore::OnOutcome.
struct CommitTransaction {
  TableTransaction transaction;

  friend bool operator==(const CommitTransaction&,
                         const CommitTransaction&) = default;
};

/// Action: read the rows and pass the result to StoreRecordCore::OnReading.
struct ReadRecords {
  std::uint64_t read = 0;
  std::vector<std::string> keys;

  friend bool operator==(const ReadRecords&, const ReadRecords&) = default;
};

/// Action: scan the keys with the prefix and pass the result to
/// StoreRecordCore::OnReading.
struct ScanRecords {
  std::uint64_t read = 0;
  std::string prefix;

  friend bool operator==(const ScanRecords&, const ScanRecords&) = default;
};

/// Action: pass the answer to the handler of the request. FirstSubmission means
/// that the record is written and the request may be dispatched after
/// MarkDispatched.
struct AnswerSubmission {
  RecordName name;
  LedgerAnswer answer;

  friend bool operator==(const AnswerSubmission&,
                         const AnswerSubmission&) = default;
};

/// Action that the owner of a StoreRecordCore must carry out.
using StoreRecordAction =
    std::variant<CommitTransaction, ReadRecords, ScanRecords, AnswerSubmission>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_STORE_RECORD_ACTION_H_
