#include "comfreyvane/once/store_record_core.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "comfreyvane/once/hex.h"

namespace comfreyvane {
namespace {

std::string IdPrefix(ServiceId service,
                     HostId host,
                     Incarnation incarnation,
                     std::string_view kind) {
  std::string prefix("once-");
  for (const std::uint64_t part :
       {service.value(), host.value(), incarnation.value()}) {
    AppendHex(prefix, part);
    prefix.push_back('-');
  }
  return prefix.append(kind).append("-");
}

Refusal UnknownRunRefusal(RefusalReason reason) {
  return {reason, RunState::kUnknown};
}

}  // namespace

StoreRecordCore::StoreRecordCore(ServiceId service,
                                 HostId self,
                                 Incarnation incarnation,
                                 StoreRecordLimits limits,
                                 std::uint64_t seed,
                                 TimePoint now)
    : service_(service),
      self_(self),
      incarnation_(incarnation),
      limits_(limits),
      random_(seed),
      epochs_(service, IdPrefix(service, self, incarnation, "e"), limits, now) {
  ScheduleActions(now);
}

std::optional<RecordName> StoreRecordCore::IssueName(WorkspaceId workspace) {
  if (epochs_.epoch() == 0)
    return std::nullopt;
  return RecordName{.service = service_,
                    .workspace = workspace,
                    .epoch = epochs_.epoch(),
                    .issuer = self_,
                    .incarnation = incarnation_,
                    .serial = next_serial_++};
}

void StoreRecordCore::Begin(const RecordName& name,
                            RequestId request,
                            TimePoint deadline,
                            TimePoint now) {
  if (name.service != service_) {
    Answer(name, UnknownRunRefusal(RefusalReason::kMalformedRequest));
    return;
  }
  const auto found = submissions_.find(name);
  if (found != submissions_.end()) {
    if (found->second.record.request == request)
      Answer(name, InProgress{});
    else
      Answer(name, UnknownRunRefusal(RefusalReason::kMalformedRequest));
    return;
  }
  if (submissions_.size() >= limits_.capacity) {
    Answer(name, UnknownRunRefusal(RefusalReason::kRecordFull));
    return;
  }
  Submission submission{.record = {.request = request,
                                   .owner = self_,
                                   .incarnation = incarnation_,
                                   .submission = next_transaction_++},
                        .deadline = deadline,
                        .retry_at = now};
  submissions_.emplace(name, std::move(submission));
  TryInsert(name, now);
  ScheduleActions(now);
}

void StoreRecordCore::TryInsert(const RecordName& name, TimePoint now) {
  const auto found = submissions_.find(name);
  Submission& submission = found->second;
  assert(submission.phase == Phase::kWaiting);
  submission.is_blocked = inserts_in_flight_.size() >= MaxCallsInFlight() ||
                          (!submission.insert && !epochs_.is_current());
  if (submission.is_blocked)
    return;
  if (submission.insert) {
    SendInsert(name, submission);
    return;
  }
  if (name.epoch > epochs_.epoch()) {
    epochs_.Invalidate(now);
    submission.retry_at = NextRetry(submission.backoff, now);
    return;
  }
  if (!epochs_.Accepts(name.epoch)) {
    AnswerAndErase(found, UnknownRunRefusal(RefusalReason::kOutcomeUnknown),
                   now);
    return;
  }
  const std::string key = RowKey(name);
  submission.insert = TableTransaction{
      .id = NextTransactionId(),
      .conditions = {{EpochKey(service_), epochs_.row_revision()},
                     {key, Revision()}},
      .writes = {{key, ToRowValue(submission.record)}}};
  SendInsert(name, submission);
}

void StoreRecordCore::SendInsert(const RecordName& name,
                                 Submission& submission) {
  submission.phase = Phase::kWriting;
  inserts_in_flight_.emplace(submission.insert->id, name);
  actions_.emplace_back(CommitTransaction{*submission.insert});
}

bool StoreRecordCore::MarkDispatched(const RecordName& name, TimePoint now) {
  if (!MayDispatch(name, now))
    return false;
  submissions_.find(name)->second.phase = Phase::kDispatched;
  return true;
}

void StoreRecordCore::OnAttemptNotRun(const RecordName& name) {
  const auto found = submissions_.find(name);
  if (found != submissions_.end() && found->second.phase == Phase::kDispatched)
    found->second.phase = Phase::kRecorded;
}

void StoreRecordCore::Finish(const RecordName& name,
                             RunOutcome outcome,
                             TimePoint now) {
  const auto found = submissions_.find(name);
  if (found == submissions_.end())
    return;
  const Submission submission = found->second;
  const bool owns_row = submission.phase == Phase::kRecorded ||
                        submission.phase == Phase::kDispatched;
  if (!owns_row)
    return;
  submissions_.erase(found);
  const std::string key = RowKey(name);
  if (outcome.run_state == RunState::kNotRun &&
      submission.phase == Phase::kRecorded) {
    DeleteRow(key, submission.row, now);
  } else if (outcome.run_state == RunState::kRan) {
    StoreRecord done = submission.record;
    done.done = true;
    done.status = outcome.status;
    AddPendingWrite({.write = {.id = NextTransactionId(),
                               .conditions = {{key, submission.row}},
                               .writes = {{key, ToRowValue(done)}}}},
                    now);
  }
  ScheduleActions(now);
}

bool StoreRecordCore::MayDispatch(const RecordName& name, TimePoint now) const {
  const auto found = submissions_.find(name);
  return found != submissions_.end() &&
         found->second.phase == Phase::kRecorded &&
         now < found->second.deadline;
}

RunState StoreRecordCore::RunStateOf(const RecordName& name) const {
  const auto found = submissions_.find(name);
  const bool owned =
      found != submissions_.end() && found->second.phase == Phase::kRecorded;
  return owned ? RunState::kNotRun : RunState::kUnknown;
}

std::vector<StoreRecordAction> StoreRecordCore::TakeActions() {
  return std::exchange(actions_, {});
}

std::size_t StoreRecordCore::MaxCallsInFlight() const {
  return is_store_down_ ? 1 : limits_.max_inserts_in_flight;
}

std::size_t StoreRecordCore::WritesInFlight() const {
  return static_cast<std::size_t>(
      std::count_if(pending_writes_.begin(), pending_writes_.end(),
                    [](const auto& entry) { return entry.second.in_flight; }));
}

std::size_t StoreRecordCore::waiting() const {
  return submissions_.size() - recorded();
}

std::size_t StoreRecordCore::recorded() const {
  return static_cast<std::size_t>(std::count_if(
      submissions_.begin(), submissions_.end(), [](const auto& entry) {
        return entry.second.phase == Phase::kRecorded ||
               entry.second.phase == Phase::kDispatched;
      }));
}

TimePoint StoreRecordCore::NextDue() const {
  TimePoint due = epochs_.next_due();
  for (const auto& [name, submission] : submissions_) {
    const bool is_pending = submission.phase == Phase::kWaiting;
    if (is_pending || submission.phase == Phase::kWriting)
      due = std::min(due, submission.deadline);
    if (is_pending && !submission.is_blocked)
      due = std::min(due, submission.retry_at);
  }
  const bool may_send = WritesInFlight() < MaxCallsInFlight();
  for (const auto& [id, pending] : pending_writes_) {
    if (may_send && !pending.in_flight)
      due = std::min(due, pending.retry_at);
  }
  return due;
}

void StoreRecordCore::Answer(const RecordName& name, LedgerAnswer answer) {
  actions_.emplace_back(AnswerSubmission{name, answer});
}

TimePoint StoreRecordCore::NextRetry(Duration& backoff, TimePoint now) {
  const Duration doubled = std::max(2 * backoff, limits_.initial_backoff);
  backoff = std::min(doubled, limits_.max_backoff);
  const double jitter = 0.5 + 0.5 * random_.Uniform();
  return now + Duration(static_cast<Duration::rep>(
                   static_cast<double>(backoff.count()) * jitter));
}

std::string StoreRecordCore::NextTransactionId() {
  std::string id = IdPrefix(service_, self_, incarnation_, "t");
  AppendHex(id, next_transaction_++);
  return id;
}

}  // namespace comfreyvane
