#include "comfreyvane/spread/configuration_core.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {

namespace {

template <typename... F>
struct Overloaded : F... {
  using F::operator()...;
};

template <typename... F>
Overloaded(F...) -> Overloaded<F...>;

}  // namespace

ConfigurationCore::ConfigurationCore(ConfigurationSettings settings,
                                     TimePoint now)
    : settings_(settings),
      accept_(settings.self, settings.accept),
      acceptor_(settings.self),
      freshness_(settings.self, settings.freshness),
      spread_(settings.self.host,
              settings.self.incarnation,
              settings.spread,
              now),
      tracker_(settings.freshness.proof_validity + settings.clock_drift),
      view_(std::make_shared<const MemberView>()) {}

ConfigurationActions ConfigurationCore::SetMembers(MemberViewPtr view,
                                                   const PeerGraph& graph,
                                                   TimePoint now) {
  ConfigurationActions out;
  view_ = std::move(view);
  graph_ = graph;
  freshness_.SetGraph(graph);
  Take(spread_.SetMembers(view_, graph, now), now, out);
  return out;
}

ConfigurationActions ConfigurationCore::OnTick(TimePoint now) {
  ConfigurationActions out;
  Take(spread_.OnTick(now), now, out);
  Take(accept_.OnTick(now), now, out);
  const bool relay = graph_.IsRelay(settings_.self.host);
  Take(acceptor_.OnTick(*view_, relay, now), now, out);
  if (const auto own = OwnStatement(now))
    freshness_.OnOwnStatement(*own, now);
  Take(freshness_.OnTick(now), now, out);
  return out;
}

ConfigurationActions ConfigurationCore::OnMessage(HostId from,
                                                  const SpreadMessage& message,
                                                  TimePoint now) {
  ConfigurationActions out;
  Take(spread_.OnMessage(from, message, now), now, out);
  return out;
}

ConfigurationActions ConfigurationCore::OnMessage(
    HostId from,
    const FreshnessMessage& message,
    TimePoint now) {
  ConfigurationActions out;
  Take(freshness_.OnMessage(from, message, OwnStatement(now), now), now, out);
  return out;
}

ConfigurationActions ConfigurationCore::OnRead(std::uint64_t number,
                                               const TableReading& reading,
                                               TimePoint now) {
  ConfigurationActions out;
  const auto at = reads_.find(number);
  if (at == reads_.end())
    return out;
  const Read read = at->second;
  reads_.erase(at);
  switch (read.reader) {
    case Reader::kAccept:
      Take(accept_.OnRead(read.number, reading, now), now, out);
      break;
    case Reader::kSpread:
      Take(spread_.OnRead(read.number, reading, now), now, out);
      break;
    case Reader::kFreshness:
      Take(freshness_.OnHeadRead(read.number, reading, now), now, out);
      break;
  }
  return out;
}

ConfigurationActions ConfigurationCore::OnOutcome(const TableOutcome& outcome,
                                                  TimePoint now) {
  ConfigurationActions out;
  Take(accept_.OnOutcome(outcome, now), now, out);
  Take(acceptor_.OnOutcome(outcome, now), now, out);
  return out;
}

ConfigurationActions ConfigurationCore::OnApply(const OperatorRequest& request,
                                                bool forwarded,
                                                TimePoint now) {
  ConfigurationActions out;
  if (acceptor_.MayAccept()) {
    const auto held = spread_.held();
    const ConfigurationDocument none;
    Take(accept_.OnApply(request, held ? *held : none, now), now, out);
    return out;
  }
  if (!forwarded) {
    for (const Acceptor& acceptor : acceptors().acceptors) {
      if (!view_->IsLive(acceptor.host) || acceptor.host == settings_.self.host)
        continue;
      out.emplace_back(ForwardRequest{acceptor.host, request});
      return out;
    }
  }
  out.emplace_back(AnswerOperator{
      {request.id, ApplyStatus::kUnavailable, request.base, {}}});
  return out;
}

ConfigurationActions ConfigurationCore::OnSelfResumed(TimePoint now) {
  ConfigurationActions out;
  Take(spread_.Reprove(now), now, out);
  return out;
}

std::optional<Refusal> ConfigurationCore::MayServe(AccessPolicy access,
                                                   KeyId key,
                                                   TimePoint now) const {
  if (spread_.phase() == SpreadPhase::kStarting || in_force() == nullptr) {
    const auto reason = in_force() == nullptr
                            ? RefusalReason::kConfigurationMissing
                            : RefusalReason::kConfigurationStale;
    return Refusal{reason, RunState::kNotRun, settings_.freshness.retry_after};
  }
  return freshness_.MayServe(access, key, now);
}

const AcceptorSet& ConfigurationCore::acceptors() const {
  const AcceptorSet& stated = freshness_.acceptors();
  return acceptor_.set().epoch > stated.epoch ? acceptor_.set() : stated;
}

std::optional<AcceptorStatement> ConfigurationCore::OwnStatement(
    TimePoint now) const {
  const auto held = spread_.held();
  const Revision known = held == nullptr ? Revision() : held->revision;
  return acceptor_.Statement(std::max(known, accept_.committed()),
                             accept_.pending_keys(), now);
}

void ConfigurationCore::StartRead(Reader reader,
                                  std::uint64_t number,
                                  std::vector<std::string> keys,
                                  ConfigurationActions& out) {
  const std::uint64_t own = next_number_++;
  reads_.emplace(own, Read{reader, number});
  out.emplace_back(ReadRows{own, std::move(keys)});
}

void ConfigurationCore::Take(AcceptActions actions,
                             TimePoint now,
                             ConfigurationActions& out) {
  const Overloaded take{
      [&](ReadRows& read) {
        StartRead(Reader::kAccept, read.number, std::move(read.keys), out);
      },
      [&](CommitRows& commit) { out.emplace_back(std::move(commit)); },
      [&](AnswerOperator& answer) { out.emplace_back(std::move(answer)); },
      [&](const DeltaAccepted& accepted) {
        tracker_.OnAccepted(accepted.delta.to, now);
        Take(spread_.OnAccepted(accepted.delta, now), now, out);
      }};
  for (AcceptAction& action : actions)
    std::visit(take, action);
}

void ConfigurationCore::Take(SpreadActions actions,
                             TimePoint now,
                             ConfigurationActions& out) {
  const Overloaded take{
      [&](ReadRows& read) {
        StartRead(Reader::kSpread, read.number, std::move(read.keys), out);
      },
      [&](SendSpreadMessage& send) { out.emplace_back(std::move(send)); },
      [&](PutInForce& put) {
        freshness_.SetInForce(put.document->revision);
        tracker_.OnAccepted(put.document->revision, now);
        out.emplace_back(std::move(put));
      },
      [&](const RevisionConfirmed& confirmed) {
        tracker_.OnConfirmed(confirmed.host, confirmed.incarnation,
                             confirmed.revision);
      },
      [&](const DomainConfirmed& confirmed) {
        tracker_.OnDomain(confirmed.confirmation);
      }};
  for (SpreadAction& action : actions)
    std::visit(take, action);
}

void ConfigurationCore::Take(FreshnessActions actions,
                             TimePoint now,
                             ConfigurationActions& out) {
  const Overloaded take{
      [&](const ReadHead& read) {
        StartRead(Reader::kFreshness, read.number, {kHeadKey, kAcceptorsKey},
                  out);
      },
      [&](SendFreshnessMessage& send) { out.emplace_back(std::move(send)); },
      [&](const AcceptorsRowSeen& seen) {
        acceptor_.OnRow(seen.row, seen.begun);
      },
      [&](const NewerRevisionSeen& seen) {
        if (seen.head.revision > Revision())
          tracker_.OnAccepted(seen.head.revision, now);
        Take(spread_.OnHead(seen.head, seen.begun, now), now, out);
      }};
  for (FreshnessAction& action : actions)
    std::visit(take, action);
}

}  // namespace comfreyvane
