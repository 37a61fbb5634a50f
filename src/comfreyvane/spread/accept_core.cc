#include "comfreyvane/spread/accept_core.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/spread/row_text.h"

namespace comfreyvane {

namespace {

constexpr std::uint64_t kKeptFullDocuments = kKeptDeltas / kFullInterval + 1;

TableRow FindRow(const TableReading& reading, std::string_view key) {
  const auto at = std::ranges::find(reading.rows, key, &TableRow::key);
  return at == reading.rows.end() ? TableRow{std::string(key), {}, {}} : *at;
}

RequestId IdOf(const OperatorRequest& request) {
  return RequestId::Of(request.id);
}

void AddOldRowDeletes(Revision to, std::vector<TableWrite>& writes) {
  if (to.value() > kKeptDeltas)
    writes.push_back({DeltaKey(Revision(to.value() - kKeptDeltas)), {}});
  const std::uint64_t kept = kKeptFullDocuments * kFullInterval;
  if (FullRevision(to) == to && to.value() > kept)
    writes.push_back({FullKey(Revision(to.value() - kept)), {}});
}

}  // namespace

AcceptCore::AcceptCore(Acceptor self, AcceptSettings settings)
    : self_(self), settings_(settings) {}

AcceptActions AcceptCore::OnApply(const OperatorRequest& request,
                                  const ConfigurationDocument& current,
                                  TimePoint now) {
  AcceptActions actions;
  if (pending_) {
    const bool same = pending_->request.id == request.id;
    const auto status = same && pending_->uncertain ? ApplyStatus::kUnknown
                                                    : ApplyStatus::kBusy;
    actions.emplace_back(
        AnswerOperator{{request.id, status, request.base, current.revision}});
    return actions;
  }
  pending_.emplace(request, current, now);
  StartRead(actions);
  return actions;
}

void AcceptCore::StartRead(AcceptActions& actions) {
  pending_->stage = Stage::kReading;
  pending_->read_number = next_number_++;
  pending_->repeat_at.reset();
  actions.emplace_back(
      ReadRows{pending_->read_number, {kHeadKey, kRequestsKey, kAcceptorsKey}});
}

AcceptActions AcceptCore::OnRead(std::uint64_t number,
                                 const TableReading& reading,
                                 TimePoint /*now*/) {
  AcceptActions actions;
  if (!pending_ || pending_->stage != Stage::kReading ||
      pending_->read_number != number)
    return actions;
  if (reading.status != TableStatus::kDone) {
    Finish(pending_->conflicted ? ApplyStatus::kUnknown
                                : ApplyStatus::kUnavailable,
           committed_, actions);
    return actions;
  }
  Classify({FindRow(reading, kHeadKey), FindRow(reading, kRequestsKey),
            FindRow(reading, kAcceptorsKey)},
           actions);
  return actions;
}

void AcceptCore::Classify(const Rows& rows, AcceptActions& actions) {
  const auto head = HeadRow::Parse(rows.head.value);
  const auto log = RequestLog::Parse(rows.requests.value);
  const auto set = AcceptorSet::Parse(rows.acceptors.value);
  if (!head || !log || !set) {
    Finish(ApplyStatus::kUnavailable, committed_, actions);
    return;
  }
  committed_ = std::max(committed_, head->revision);
  if (const auto known = log->Find(IdOf(pending_->request))) {
    Finish(ApplyStatus::kAccepted, *known, actions);
  } else if (head->revision != pending_->request.base) {
    Finish(ApplyStatus::kConflict, head->revision, actions);
  } else if (head->revision != pending_->current.revision) {
    Finish(ApplyStatus::kBusy, head->revision, actions);
  } else if (!set->Has(self_)) {
    Finish(ApplyStatus::kUnavailable, head->revision, actions);
  } else {
    Commit(rows, *log, actions);
  }
}

void AcceptCore::Commit(const Rows& rows,
                        const RequestLog& log,
                        AcceptActions& actions) {
  const ConfigurationDocument next{pending_->current.revision.next(),
                                   pending_->request.document};
  pending_->delta = ConfigurationDelta::Between(pending_->current, next);
  pending_->transaction = TransactionFor(rows, log);
  pending_->stage = Stage::kCommitting;
  actions.emplace_back(CommitRows{pending_->transaction});
}

TableTransaction AcceptCore::TransactionFor(const Rows& rows,
                                            const RequestLog& log) {
  const Revision to = pending_->delta.to;
  TableTransaction transaction;
  transaction.id = "apply/" + pending_->request.id + "/" +
                   std::to_string(self_.host.value()) + "/" +
                   std::to_string(self_.incarnation.value()) + "/" +
                   std::to_string(next_number_++);
  transaction.conditions = {{kHeadKey, rows.head.revision},
                            {kRequestsKey, rows.requests.revision},
                            {kAcceptorsKey, rows.acceptors.revision}};
  transaction.writes = {
      {kHeadKey, HeadRow{to, pending_->delta.digest}.Text()},
      {kRequestsKey, log.With(IdOf(pending_->request), to).Text()},
      {DeltaKey(to), DeltaText(pending_->delta)}};
  if (FullRevision(to) == to)
    transaction.writes.push_back(
        {FullKey(to), DocumentText({to, pending_->request.document})});
  AddOldRowDeletes(to, transaction.writes);
  return transaction;
}

AcceptActions AcceptCore::OnOutcome(const TableOutcome& outcome,
                                    TimePoint now) {
  AcceptActions actions;
  if (!pending_ || pending_->stage != Stage::kCommitting ||
      pending_->transaction.id != outcome.transaction_id)
    return actions;
  switch (outcome.status) {
    case TableStatus::kDone:
      committed_ = std::max(committed_, pending_->delta.to);
      actions.emplace_back(DeltaAccepted{pending_->delta});
      Finish(ApplyStatus::kAccepted, pending_->delta.to, actions);
      break;
    case TableStatus::kConflict:
      pending_->conflicted = true;
      pending_->uncertain = false;
      StartRead(actions);
      break;
    case TableStatus::kUnknown:
      pending_->uncertain = true;
      pending_->repeat_at = now + settings_.repeat_period;
      break;
    case TableStatus::kUnavailable:
    case TableStatus::kMalformed:
      // A repeat that was not taken says nothing of the first try.
      if (pending_->uncertain)
        pending_->repeat_at = now + settings_.repeat_period;
      else
        Finish(ApplyStatus::kUnavailable, committed_, actions);
      break;
  }
  return actions;
}

AcceptActions AcceptCore::OnTick(TimePoint now) {
  AcceptActions actions;
  if (!pending_)
    return actions;
  if (pending_->repeat_at && now >= *pending_->repeat_at) {
    pending_->repeat_at.reset();
    actions.emplace_back(CommitRows{pending_->transaction});
  }
  if (!pending_->told_unknown &&
      now - pending_->started >= settings_.answer_timeout) {
    pending_->told_unknown = true;
    actions.emplace_back(
        AnswerOperator{{pending_->request.id, ApplyStatus::kUnknown,
                        pending_->request.base, committed_}});
  }
  return actions;
}

void AcceptCore::Finish(ApplyStatus status,
                        Revision revision,
                        AcceptActions& actions) {
  if (!pending_->told_unknown)
    actions.emplace_back(AnswerOperator{
        {pending_->request.id, status, pending_->request.base, revision}});
  pending_.reset();
}

std::vector<KeyId> AcceptCore::pending_keys() const {
  if (!pending_)
    return {};
  return pending_->request.withdrawn_keys;
}

}  // namespace comfreyvane
