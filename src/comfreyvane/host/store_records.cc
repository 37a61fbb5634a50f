#include "comfreyvane/host/store_records.h"

#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {

/// A request that waits for its record.
struct StoreRecords::Pending {
  explicit Pending(asio::io_context& context) : io(context), wakeup(context) {
    wakeup.expires_at(asio::steady_timer::time_point::max());
  }

  asio::io_context& io;
  asio::steady_timer wakeup;
  std::optional<LedgerAnswer> answer;
};

StoreRecords::StoreRecords(HostId self,
                           Incarnation incarnation,
                           std::uint64_t seed,
                           Sink sink)
    : self_(self),
      incarnation_(incarnation),
      seed_(seed),
      sink_(std::move(sink)) {}

void StoreRecords::Ensure(ServiceId service, TimePoint now) {
  Emission emission;
  {
    const std::lock_guard lock(mutex_);
    const auto [entry, added] = cores_.try_emplace(
        service, service, self_, incarnation_, StoreRecordLimits{},
        HashPair(seed_, service.value()), now);
    if (!added)
      return;
    // A new core asks for its epoch at once.
    emission = Collect(service, entry->second);
  }
  Emit(std::move(emission));
}

StoreRecordCore* StoreRecords::CoreOf(ServiceId service) {
  const auto found = cores_.find(service);
  return found == cores_.end() ? nullptr : &found->second;
}

std::optional<std::string> StoreRecords::IssueName(ServiceId service,
                                                   WorkspaceId workspace) {
  const std::lock_guard lock(mutex_);
  StoreRecordCore* const core = CoreOf(service);
  const auto name = core == nullptr ? std::nullopt : core->IssueName(workspace);
  return name ? std::optional<std::string>(ToText(*name)) : std::nullopt;
}

asio::awaitable<LedgerAnswer> StoreRecords::Begin(asio::io_context& io,
                                                  ServiceId service,
                                                  RecordName name,
                                                  RequestId request,
                                                  TimePoint deadline,
                                                  TimePoint now) {
  const auto pending = std::make_shared<Pending>(io);
  Emission emission;
  {
    const std::lock_guard lock(mutex_);
    StoreRecordCore* const core = CoreOf(service);
    if (core == nullptr) {
      co_return LedgerAnswer(
          Refusal{RefusalReason::kRecordUnavailable, RunState::kUnknown, {}});
    }
    pending_.emplace(name, pending);
    core->Begin(name, request, deadline, now);
    emission = Collect(service, *core);
  }
  Emit(std::move(emission));
  if (!pending->answer)
    co_await pending->wakeup.async_wait(kAwait);
  co_return *pending->answer;
}

bool StoreRecords::MarkDispatched(ServiceId service,
                                  const RecordName& name,
                                  TimePoint now) {
  const std::lock_guard lock(mutex_);
  StoreRecordCore* const core = CoreOf(service);
  return core != nullptr && core->MarkDispatched(name, now);
}

void StoreRecords::OnAttemptNotRun(ServiceId service, const RecordName& name) {
  const std::lock_guard lock(mutex_);
  if (StoreRecordCore* const core = CoreOf(service))
    core->OnAttemptNotRun(name);
}

void StoreRecords::Finish(ServiceId service,
                          const RecordName& name,
                          RunOutcome end,
                          TimePoint now) {
  Emission emission;
  {
    const std::lock_guard lock(mutex_);
    StoreRecordCore* const core = CoreOf(service);
    if (core == nullptr)
      return;
    core->Finish(name, end, now);
    emission = Collect(service, *core);
  }
  Emit(std::move(emission));
}

RunState StoreRecords::RunStateOf(ServiceId service, const RecordName& name) {
  const std::lock_guard lock(mutex_);
  StoreRecordCore* const core = CoreOf(service);
  return core == nullptr ? RunState::kUnknown : core->RunStateOf(name);
}

void StoreRecords::OnOutcome(ServiceId service,
                             const TableOutcome& outcome,
                             TimePoint now) {
  Emission emission;
  {
    const std::lock_guard lock(mutex_);
    StoreRecordCore* const core = CoreOf(service);
    if (core == nullptr)
      return;
    core->OnOutcome(outcome, now);
    emission = Collect(service, *core);
  }
  Emit(std::move(emission));
}

void StoreRecords::OnReading(ServiceId service,
                             std::uint64_t read,
                             const TableReading& reading,
                             TimePoint now) {
  Emission emission;
  {
    const std::lock_guard lock(mutex_);
    StoreRecordCore* const core = CoreOf(service);
    if (core == nullptr)
      return;
    core->OnReading(read, reading, now);
    emission = Collect(service, *core);
  }
  Emit(std::move(emission));
}

void StoreRecords::OnTick(TimePoint now) {
  std::vector<Emission> emissions;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [service, core] : cores_) {
      if (core.NextDue() > now)
        continue;
      core.OnTick(now);
      emissions.push_back(Collect(service, core));
    }
  }
  for (Emission& emission : emissions)
    Emit(std::move(emission));
}

std::size_t StoreRecords::waiting() const {
  const std::lock_guard lock(mutex_);
  std::size_t total = 0;
  for (const auto& [service, core] : cores_)
    total += core.waiting();
  return total;
}

StoreRecords::Emission StoreRecords::Collect(ServiceId service,
                                             StoreRecordCore& core) {
  Emission emission{service, {}};
  for (StoreRecordAction& action : core.TakeActions()) {
    if (const auto* answer = std::get_if<AnswerSubmission>(&action))
      Answer(*answer);
    else
      emission.actions.push_back(std::move(action));
  }
  return emission;
}

void StoreRecords::Answer(const AnswerSubmission& answer) {
  const auto waiting = pending_.equal_range(answer.name);
  if (waiting.first == waiting.second)
    return;
  // In progress is the answer to a repeat, which came after the first.
  const bool to_repeat = std::holds_alternative<InProgress>(answer.answer);
  const auto found = to_repeat ? std::prev(waiting.second) : waiting.first;
  const PendingPtr pending = found->second;
  pending_.erase(found);
  asio::post(pending->io, [pending, result = answer.answer] {
    pending->answer = result;
    pending->wakeup.cancel();
  });
}

void StoreRecords::Emit(Emission emission) {
  if (!emission.actions.empty())
    sink_(emission.service, std::move(emission.actions));
}

}  // namespace comfreyvane
