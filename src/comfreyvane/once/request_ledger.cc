#include "comfreyvane/once/request_ledger.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {

RequestLedger::RequestLedger(TicketTerms terms, std::size_t capacity)
    : terms_(terms), capacity_(capacity) {}

LedgerAnswer RequestLedger::Begin(const VerifiedTicket& ticket,
                                  RequestId request,
                                  TimePoint now) {
  if (terms_.IsExpired(ticket.epoch(), now))
    return Refusal{RefusalReason::kOutcomeUnknown, RunState::kUnknown};
  if (const Entry* entry = Find(ticket)) {
    if (entry->request != request)
      return Refusal{RefusalReason::kMalformedRequest, RunState::kUnknown};
    return AnswerFor(*entry);
  }
  Expire(now);
  if (size_ >= capacity_) {
    return Refusal{RefusalReason::kRecordFull, RunState::kNotRun,
                   terms_.epoch_length};
  }
  Add(ticket, request);
  return FirstSubmission{};
}

bool RequestLedger::MarkDispatched(const VerifiedTicket& ticket,
                                   TimePoint now) {
  if (!MayDispatch(ticket, now))
    return false;
  Find(ticket)->phase = Phase::kDispatched;
  return true;
}

void RequestLedger::OnAttemptNotRun(const VerifiedTicket& ticket) {
  Entry* entry = Find(ticket);
  if (entry != nullptr && entry->phase == Phase::kDispatched)
    entry->phase = Phase::kBegun;
}

void RequestLedger::Finish(const VerifiedTicket& ticket,
                           RunOutcome outcome,
                           TimePoint now) {
  Expire(now);
  Entry* entry = Find(ticket);
  if (entry == nullptr || !IsUnfinished(*entry))
    return;
  if (outcome.run_state == RunState::kNotRun && entry->phase == Phase::kBegun) {
    Erase(ticket);
    return;
  }
  const bool ran = outcome.run_state == RunState::kRan;
  entry->phase = ran ? Phase::kRan : Phase::kUnknown;
  entry->status = outcome.status;
  --unfinished_;
}

void RequestLedger::Expire(TimePoint now) {
  while (!epochs_.empty() && terms_.IsExpired(epochs_.front().epoch, now)) {
    const auto& entries = epochs_.front().entries;
    unfinished_ -= static_cast<std::size_t>(std::count_if(
        entries.begin(), entries.end(),
        [](const auto& item) { return IsUnfinished(item.second); }));
    size_ -= entries.size();
    epochs_.pop_front();
  }
}

bool RequestLedger::MayDispatch(const VerifiedTicket& ticket,
                                TimePoint now) const {
  const Entry* entry = Find(ticket);
  return entry != nullptr && entry->phase == Phase::kBegun &&
         !terms_.IsExpired(ticket.epoch(), now);
}

RunState RequestLedger::RunStateOf(const VerifiedTicket& ticket,
                                   TimePoint now) const {
  if (terms_.IsExpired(ticket.epoch(), now))
    return RunState::kUnknown;
  const Entry* entry = Find(ticket);
  if (entry == nullptr)
    return RunState::kNotRun;
  return entry->phase == Phase::kRan ? RunState::kRan : RunState::kUnknown;
}

RequestLedger::Entry* RequestLedger::Find(const VerifiedTicket& ticket) {
  return const_cast<Entry*>(std::as_const(*this).Find(ticket));
}

const RequestLedger::Entry* RequestLedger::Find(
    const VerifiedTicket& ticket) const {
  const auto epoch = std::find_if(epochs_.rbegin(), epochs_.rend(),
                                  [&](const EpochEntries& candidate) {
                                    return candidate.epoch == ticket.epoch();
                                  });
  if (epoch == epochs_.rend())
    return nullptr;
  const auto found = epoch->entries.find(ticket.serial());
  return found == epoch->entries.end() ? nullptr : &found->second;
}

void RequestLedger::Add(const VerifiedTicket& ticket, RequestId request) {
  const auto place =
      std::lower_bound(epochs_.begin(), epochs_.end(), ticket.epoch(),
                       [](const EpochEntries& entries, std::uint64_t epoch) {
                         return entries.epoch < epoch;
                       });
  const bool known = place != epochs_.end() && place->epoch == ticket.epoch();
  const auto epoch =
      known ? place : epochs_.insert(place, EpochEntries{ticket.epoch(), {}});
  epoch->entries.emplace(ticket.serial(), Entry{request});
  ++size_;
  ++unfinished_;
}

void RequestLedger::Erase(const VerifiedTicket& ticket) {
  for (EpochEntries& epoch : epochs_) {
    if (epoch.epoch == ticket.epoch())
      epoch.entries.erase(ticket.serial());
  }
  --size_;
  --unfinished_;
}

bool RequestLedger::IsUnfinished(const Entry& entry) {
  return entry.phase == Phase::kBegun || entry.phase == Phase::kDispatched;
}

LedgerAnswer RequestLedger::AnswerFor(const Entry& entry) {
  if (IsUnfinished(entry))
    return InProgress{};
  if (entry.phase == Phase::kRan)
    return AlreadyRan{entry.status};
  return Refusal{RefusalReason::kOutcomeUnknown, RunState::kUnknown};
}

}  // namespace comfreyvane
