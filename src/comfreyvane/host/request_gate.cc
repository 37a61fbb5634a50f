#include "comfreyvane/host/request_gate.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "comfreyvane/config/key_digest.h"

namespace comfreyvane {
namespace {

Refusal NotRun(RefusalReason reason) {
  return {reason, RunState::kNotRun, {}};
}

/// Turns the ledger's answer into a refusal, if it is one.
std::optional<Refusal> RefusalOf(const LedgerAnswer& answer) {
  if (std::holds_alternative<FirstSubmission>(answer))
    return std::nullopt;
  if (std::holds_alternative<InProgress>(answer))
    return Refusal{RefusalReason::kInProgress, RunState::kUnknown, {}};
  if (std::holds_alternative<AlreadyRan>(answer))
    return Refusal{RefusalReason::kAlreadyRan, RunState::kRan, {}};
  return std::get<Refusal>(answer);
}

std::optional<RecordName> NameOf(std::string_view ticket) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<RecordName>> {
        BOOST_LEAF_AUTO(name, ParseRecordName(ticket));
        return std::optional<RecordName>(name);
      },
      [] { return std::optional<RecordName>(); });
}

}  // namespace

RequestGate::RequestGate(HostContext& context, asio::io_context& io)
    : context_(context), io_(io), configuration_(context.configuration) {}

std::optional<Refusal> RequestGate::Identify(RequestRun& run) {
  run.configuration = configuration_.Read();
  if (!run.configuration)
    return NotRun(RefusalReason::kConfigurationMissing);
  run.service = run.configuration->FindRoute(run.terms.path);
  if (run.service == nullptr)
    return NotRun(RefusalReason::kRouteUnknown);
  if (auto refusal = IdentifyKey(run))
    return refusal;
  const Duration longest = std::chrono::milliseconds(run.service->deadline_ms);
  run.deadline =
      run.started + std::min(run.terms.deadline.value_or(longest), longest);
  return std::nullopt;
}

std::optional<Refusal> RequestGate::IdentifyKey(RequestRun& run) {
  const bool is_open = run.service->access == AccessPolicy::kOpen;
  if (run.terms.key.empty()) {
    if (is_open)
      return std::nullopt;
    return NotRun(RefusalReason::kKeyMissing);
  }
  const IndexedKey* const key =
      run.configuration->FindKey(KeyDigest::Of(run.terms.key));
  if (key == nullptr)
    return NotRun(RefusalReason::kKeyUnknown);
  if (key->withdrawn)
    return NotRun(RefusalReason::kKeyWithdrawn);
  run.key = key->id;
  run.workspace =
      &run.configuration->configuration().workspaces[key->workspace_index];
  return std::nullopt;
}

std::optional<Refusal> RequestGate::CheckFreshness(const RequestRun& run,
                                                   TimePoint now) {
  // The key may have been withdrawn while the request waited.
  const auto& current = configuration_.Read();
  if (run.workspace != nullptr && current != run.configuration) {
    const IndexedKey* const key = current->FindKey(run.key);
    if (key == nullptr || key->withdrawn)
      return NotRun(RefusalReason::kKeyWithdrawn);
  }
  return context_.configurations.With([&](const ConfigurationCore& core) {
    return core.MayServe(run.service->access, run.key, now);
  });
}

std::optional<Refusal> RequestGate::TakeToken(const RequestRun& run,
                                              TimePoint now) {
  if (run.workspace == nullptr)
    return std::nullopt;
  const Admission admission =
      context_.limits.TryTake(WorkspaceLimit(run.workspace_id()), 1, now);
  if (admission.exchange_requested)
    context_.exchange_requested.store(true, std::memory_order_relaxed);
  if (admission.admitted)
    return std::nullopt;
  return admission.ToRefusal();
}

asio::awaitable<std::optional<Refusal>> RequestGate::Record(RequestRun& run) {
  if (run.terms.idempotent)
    co_return std::nullopt;
  if (run.terms.ticket.empty())
    co_return NotRun(RefusalReason::kRequestKeyMissing);
  if (run.service->once == OncePolicy::kStoreRecord)
    co_return co_await RecordInStore(run);
  co_return RecordHere(run);
}

std::optional<Refusal> RequestGate::RecordHere(RequestRun& run) {
  auto begun = context_.host_records.Begin(run.terms.ticket, run.fingerprint,
                                           run.started);
  if (const auto* refusal = std::get_if<Refusal>(&begun))
    return *refusal;
  const auto& [ticket, answer] = std::get<HostRecords::Begun>(begun);
  if (auto refusal = RefusalOf(answer))
    return refusal;
  run.claim = ticket;
  return std::nullopt;
}

asio::awaitable<std::optional<Refusal>> RequestGate::RecordInStore(
    RequestRun& run) {
  const auto name = NameOf(run.terms.ticket);
  const bool is_named = name && name->service == run.service_id() &&
                        name->workspace == run.workspace_id();
  if (!is_named) {
    co_return Refusal{RefusalReason::kMalformedRequest, RunState::kUnknown, {}};
  }
  const LedgerAnswer answer = co_await context_.store_records.Begin(
      io_, run.service_id(), *name, run.fingerprint, run.deadline, run.started);
  if (auto refusal = RefusalOf(answer))
    co_return refusal;
  run.claim = StoreClaim{run.service_id(), *name};
  co_return std::nullopt;
}

std::optional<Refusal> RequestGate::ClaimRun(const RequestRun& run,
                                             TimePoint now) {
  if (!run.claim)
    return std::nullopt;
  bool claimed = false;
  if (const auto* ticket = std::get_if<VerifiedTicket>(&*run.claim)) {
    claimed = context_.host_records.MarkDispatched(*ticket, now);
  } else {
    const auto& store = std::get<StoreClaim>(*run.claim);
    claimed =
        context_.store_records.MarkDispatched(store.service, store.name, now);
  }
  if (claimed)
    return std::nullopt;
  return Refusal{RefusalReason::kOutcomeUnknown, RunState::kUnknown, {}};
}

void RequestGate::ReturnRun(const RequestRun& run) {
  if (!run.claim)
    return;
  if (const auto* ticket = std::get_if<VerifiedTicket>(&*run.claim)) {
    context_.host_records.OnAttemptNotRun(*ticket);
    return;
  }
  const auto& store = std::get<StoreClaim>(*run.claim);
  context_.store_records.OnAttemptNotRun(store.service, store.name);
}

void RequestGate::EndRecord(const RequestRun& run,
                            RunOutcome end,
                            TimePoint now) {
  if (!run.claim)
    return;
  if (const auto* ticket = std::get_if<VerifiedTicket>(&*run.claim)) {
    context_.host_records.Finish(*ticket, end, now);
    return;
  }
  const auto& store = std::get<StoreClaim>(*run.claim);
  context_.store_records.Finish(store.service, store.name, end, now);
}

Refusal RequestGate::Truthful(const RequestRun& run,
                              Refusal refusal,
                              TimePoint now) {
  const bool is_named = !run.terms.idempotent && !run.terms.ticket.empty();
  if (is_named && refusal.run_state == RunState::kNotRun)
    refusal.run_state = RunStateOf(run, now);
  return refusal;
}

RunState RequestGate::RunStateOf(const RequestRun& run, TimePoint now) {
  if (!run.claim)
    return context_.host_records.RunStateOf(run.terms.ticket, now);
  if (const auto* ticket = std::get_if<VerifiedTicket>(&*run.claim))
    return context_.host_records.RunStateOf(*ticket, now);
  const auto& store = std::get<StoreClaim>(*run.claim);
  return context_.store_records.RunStateOf(store.service, store.name);
}

}  // namespace comfreyvane
