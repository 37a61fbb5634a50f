#include <algorithm>
#include <utility>

#include "comfreyvane/once/store_record_core.h"

namespace comfreyvane {
namespace {

Refusal UnknownRunRefusal(RefusalReason reason) {
  return {reason, RunState::kUnknown};
}

bool SameSubmission(const StoreRecord& first, const StoreRecord& second) {
  return first.request == second.request && first.owner == second.owner &&
         first.incarnation == second.incarnation &&
         first.submission == second.submission;
}

const TableRow* FindRow(const TableOutcome& outcome, const std::string& key) {
  const auto row = std::find_if(
      outcome.conflicts.begin(), outcome.conflicts.end(),
      [&](const TableRow& candidate) {
        return candidate.key == key && candidate.revision != Revision();
      });
  return row == outcome.conflicts.end() ? nullptr : &*row;
}

/// @param row the record in the row; nullopt if it is malformed.
LedgerAnswer AnswerForRow(const StoreRecord& own,
                          const std::optional<StoreRecord>& row) {
  if (row && row->request != own.request)
    return UnknownRunRefusal(RefusalReason::kMalformedRequest);
  if (row && row->done)
    return AlreadyRan{row->status};
  return UnknownRunRefusal(RefusalReason::kOutcomeUnknown);
}

bool IsRetryable(TableStatus status) {
  return status == TableStatus::kUnavailable || status == TableStatus::kUnknown;
}

}  // namespace

void StoreRecordCore::OnOutcome(const TableOutcome& outcome, TimePoint now) {
  UpdateStoreStatus(outcome.status);
  const auto insert = inserts_in_flight_.find(outcome.transaction_id);
  if (insert != inserts_in_flight_.end()) {
    const RecordName name = insert->second;
    inserts_in_flight_.erase(insert);
    const auto found = submissions_.find(name);
    const bool current = found != submissions_.end() && found->second.insert &&
                         found->second.insert->id == outcome.transaction_id;
    if (current)
      OnInsertOutcome(found, outcome, now);
    else
      OnPendingWriteOutcome(outcome.transaction_id, outcome, now);
  } else if (!epochs_.OnOutcome(outcome, now)) {
    OnPendingWriteOutcome(outcome.transaction_id, outcome, now);
  }
  ScheduleActions(now);
}

void StoreRecordCore::OnReading(std::uint64_t read,
                                const TableReading& reading,
                                TimePoint now) {
  UpdateStoreStatus(reading.status);
  static_cast<void>(epochs_.OnReading(read, reading, now));
  ScheduleActions(now);
}

void StoreRecordCore::OnTick(TimePoint now) {
  RefuseOverdue(now);
  ScheduleActions(now);
}

void StoreRecordCore::ScheduleActions(TimePoint now) {
  epochs_.AppendActions(random_, actions_, now);
  RetryDueInserts(now);
  RetryPendingWrites(now);
}

void StoreRecordCore::UpdateStoreStatus(TableStatus status) {
  is_store_down_ = IsRetryable(status);
}

void StoreRecordCore::OnInsertOutcome(Submissions::iterator found,
                                      const TableOutcome& outcome,
                                      TimePoint now) {
  Submission& submission = found->second;
  submission.phase = Phase::kWaiting;
  switch (outcome.status) {
    case TableStatus::kDone:
      OnRecorded(found, outcome.revision, now);
      break;
    case TableStatus::kConflict:
      OnInsertConflict(found, outcome, now);
      break;
    case TableStatus::kUnknown:
      submission.may_have_been_inserted = true;
      submission.retry_at = NextRetry(submission.backoff, now);
      break;
    case TableStatus::kUnavailable:
      submission.retry_at = NextRetry(submission.backoff, now);
      break;
    case TableStatus::kMalformed:
      AnswerAndErase(found, UnknownRunRefusal(RefusalReason::kInternal), now);
      break;
  }
}

void StoreRecordCore::OnInsertConflict(Submissions::iterator found,
                                       const TableOutcome& outcome,
                                       TimePoint now) {
  Submission& submission = found->second;
  submission.may_have_been_inserted = false;
  submission.insert.reset();
  const TableRow* row = FindRow(outcome, RowKey(found->first));
  if (row == nullptr) {
    epochs_.Invalidate(now);
    submission.retry_at = now;
    return;
  }
  const auto record = ParseRowValue(row->value);
  if (record && SameSubmission(submission.record, *record))
    OnRecorded(found, row->revision, now);
  else
    AnswerAndErase(found, AnswerForRow(submission.record, record), now);
}

void StoreRecordCore::OnRecorded(Submissions::iterator found,
                                 Revision row,
                                 TimePoint now) {
  Submission& submission = found->second;
  submission.phase = Phase::kRecorded;
  submission.row = row;
  submission.insert.reset();
  submission.may_have_been_inserted = false;
  if (now < submission.deadline) {
    Answer(found->first, FirstSubmission{});
    return;
  }
  DeleteRow(RowKey(found->first), row, now);
  Answer(found->first, Refusal{RefusalReason::kRecordUnavailable,
                               RunState::kNotRun, limits_.max_backoff});
  submissions_.erase(found);
}

void StoreRecordCore::AnswerAndErase(Submissions::iterator found,
                                     LedgerAnswer answer,
                                     TimePoint now) {
  Submission& submission = found->second;
  const bool insert_in_flight = submission.phase == Phase::kWriting;
  if (submission.insert &&
      (insert_in_flight || submission.may_have_been_inserted)) {
    AddPendingWrite({.write = *submission.insert,
                     .in_flight = insert_in_flight,
                     .refused_record = submission.record},
                    now);
  }
  Answer(found->first, answer);
  submissions_.erase(found);
}

void StoreRecordCore::OnPendingWriteOutcome(const std::string& id,
                                            const TableOutcome& outcome,
                                            TimePoint now) {
  const auto found = pending_writes_.find(id);
  if (found == pending_writes_.end())
    return;
  PendingWrite& pending = found->second;
  pending.in_flight = false;
  if (IsRetryable(outcome.status)) {
    pending.retry_at = NextRetry(pending.backoff, now);
    return;
  }
  const PendingWrite completed = std::move(pending);
  pending_writes_.erase(found);
  if (!completed.refused_record)
    return;
  const std::string& key = completed.write.writes.front().key;
  if (outcome.status == TableStatus::kDone) {
    DeleteRow(key, outcome.revision, now);
    return;
  }
  const TableRow* row = FindRow(outcome, key);
  if (row == nullptr)
    return;
  const auto record = ParseRowValue(row->value);
  if (record && SameSubmission(*record, *completed.refused_record))
    DeleteRow(key, row->revision, now);
}

void StoreRecordCore::DeleteRow(const std::string& key,
                                Revision row,
                                TimePoint now) {
  AddPendingWrite({.write = {.id = NextTransactionId(),
                             .conditions = {{key, row}},
                             .writes = {{key, std::nullopt}}}},
                  now);
}

void StoreRecordCore::AddPendingWrite(PendingWrite pending, TimePoint now) {
  if (pending_writes_.size() >= limits_.capacity)
    return;
  pending.retry_at = now;
  const std::string id = pending.write.id;
  pending_writes_.emplace(id, std::move(pending));
}

void StoreRecordCore::RetryDueInserts(TimePoint now) {
  std::vector<RecordName> due;
  for (const auto& [name, submission] : submissions_) {
    if (submission.phase == Phase::kWaiting && now >= submission.retry_at &&
        now < submission.deadline)
      due.push_back(name);
  }
  for (const RecordName& name : due)
    TryInsert(name, now);
}

void StoreRecordCore::RetryPendingWrites(TimePoint now) {
  std::size_t in_flight = WritesInFlight();
  const std::size_t max_in_flight = MaxCallsInFlight();
  for (auto& [id, pending] : pending_writes_) {
    if (in_flight >= max_in_flight)
      return;
    if (pending.in_flight || now < pending.retry_at)
      continue;
    pending.in_flight = true;
    ++in_flight;
    actions_.emplace_back(CommitTransaction{pending.write});
  }
}

void StoreRecordCore::RefuseOverdue(TimePoint now) {
  for (auto next = submissions_.begin(); next != submissions_.end();) {
    const auto found = next++;
    const Submission& submission = found->second;
    const bool is_pending = submission.phase == Phase::kWaiting ||
                            submission.phase == Phase::kWriting;
    if (!is_pending || now < submission.deadline)
      continue;
    Refusal refusal = UnknownRunRefusal(RefusalReason::kRecordUnavailable);
    refusal.retry_after = limits_.max_backoff;
    AnswerAndErase(found, refusal, now);
  }
}

}  // namespace comfreyvane
