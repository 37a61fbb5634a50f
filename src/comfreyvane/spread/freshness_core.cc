#include "comfreyvane/spread/freshness_core.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {

namespace {

// Relays of these ranks ask the acceptors; the others ask these.
constexpr std::size_t kAskingRelays = 2;

TableRow FindRow(const TableReading& reading, std::string_view key) {
  const auto at = std::ranges::find(reading.rows, key, &TableRow::key);
  return at == reading.rows.end() ? TableRow{std::string(key), {}, {}} : *at;
}

}  // namespace

// Numbers differ between incarnations, so that an answer to the former one
// proves nothing to this one.
FreshnessCore::FreshnessCore(Acceptor self, FreshnessSettings settings)
    : self_(self),
      settings_(settings),
      next_number_(HashPair(self.host.value(), self.incarnation.value())) {}

void FreshnessCore::SetGraph(const PeerGraph& graph) {
  graph_ = graph;
}

void FreshnessCore::SetInForce(Revision revision) {
  if (revision <= in_force_)
    return;
  in_force_ = revision;
  if (store_ && store_->revision <= in_force_)
    proved_store_ = store_;
  ProveByStatements();
}

FreshnessActions FreshnessCore::OnTick(TimePoint now) {
  FreshnessActions actions;
  DropQuestions(now);
  const bool relay = graph_.IsRelay(self_.host);
  if ((relay || IsAcceptor()) && (!next_read_ || now >= *next_read_)) {
    next_read_ = now + settings_.read_period;
    const std::uint64_t number = next_number_++;
    reads_.emplace(number, now);
    actions.emplace_back(ReadHead{number});
  }
  const bool unanswered =
      std::ranges::any_of(questions_, [&](const auto& item) {
        return !item.second.answered &&
               now - item.second.sent >= settings_.ask_again_after &&
               now - item.second.sent < settings_.ask_period;
      });
  const bool again =
      unanswered && next_ask_ &&
      now >= *next_ask_ - settings_.ask_period + settings_.ask_again_after;
  // A relay asks from the moment at which the store does not answer.
  const bool wanted = !relay || !StoreAnswers(now);
  if (wanted && (!next_ask_ || now >= *next_ask_ || again)) {
    next_ask_ = now + settings_.ask_period;
    if (relay)
      AskAcceptors(now, actions);
    else
      AskRelays(now, actions);
  }
  return actions;
}

void FreshnessCore::Ask(HostId to, TimePoint now, FreshnessActions& actions) {
  if (to == self_.host)
    return;
  const std::uint64_t number = next_number_++;
  questions_.emplace(number, Question{to, now});
  actions.emplace_back(
      SendFreshnessMessage{to, FreshnessQuestion{number, acceptors_.epoch}});
}

// Each host has its own relay; the next one is asked when that is silent.
void FreshnessCore::AskRelays(TimePoint now, FreshnessActions& actions) {
  if (graph_.relays.empty())
    return;
  if (!questions_.empty() && !questions_.rbegin()->second.answered)
    ++attempt_;
  const std::uint64_t at =
      HashPair(self_.host.value(), 0) % graph_.relays.size() + attempt_;
  Ask(graph_.relays[at % graph_.relays.size()], now, actions);
}

void FreshnessCore::AskAcceptors(TimePoint now, FreshnessActions& actions) {
  const auto own = std::ranges::find(graph_.relays, self_.host);
  if (own - graph_.relays.begin() >=
      static_cast<std::ptrdiff_t>(kAskingRelays)) {
    // Their ages add up with those of the hosts that ask this one.
    next_ask_ = now + settings_.ask_period / 2;
    for (std::size_t i = 0; i < kAskingRelays; ++i)
      Ask(graph_.relays[i], now, actions);
    return;
  }
  for (const Acceptor& acceptor : acceptors_.acceptors)
    Ask(acceptor.host, now, actions);
}

bool FreshnessCore::StoreAnswers(TimePoint now) const {
  const Duration late = settings_.read_period + settings_.ask_again_after;
  return store_ && now - store_->at < late;
}

void FreshnessCore::DropQuestions(TimePoint now) {
  std::erase_if(questions_, [&](const auto& item) {
    return now - item.second.sent >= settings_.proof_validity;
  });
  std::erase_if(reads_, [&](const auto& item) {
    return now - item.second >= settings_.proof_validity;
  });
}

FreshnessActions FreshnessCore::OnHeadRead(std::uint64_t number,
                                           const TableReading& reading,
                                           TimePoint /*now*/) {
  FreshnessActions actions;
  const auto begun = reads_.find(number);
  if (begun == reads_.end() || reading.status != TableStatus::kDone)
    return actions;
  const TimePoint at = begun->second;
  reads_.erase(begun);
  const TableRow row = FindRow(reading, kAcceptorsKey);
  const auto set = AcceptorSet::Parse(row.value);
  const auto head = HeadRow::Parse(FindRow(reading, kHeadKey).value);
  if (set) {
    TakeSet(*set);
    actions.emplace_back(AcceptorsRowSeen{row, at});
  }
  if (head) {
    TakeStore(*head, at);
    actions.emplace_back(NewerRevisionSeen{*head, at});
  }
  return actions;
}

void FreshnessCore::TakeStore(const HeadRow& head, TimePoint at) {
  if (store_ && store_->at >= at)
    return;
  store_ = Proof{at, head.revision, {}};
  if (head.revision <= in_force_)
    proved_store_ = store_;
}

void FreshnessCore::TakeSet(const AcceptorSet& set) {
  if (set.epoch > acceptors_.epoch)
    acceptors_ = set;
}

FreshnessActions FreshnessCore::OnMessage(
    HostId from,
    const FreshnessMessage& message,
    const std::optional<AcceptorStatement>& own,
    TimePoint now) {
  FreshnessActions actions;
  if (const auto* question = std::get_if<FreshnessQuestion>(&message)) {
    actions.emplace_back(
        SendFreshnessMessage{from, AnswerTo(*question, own, now)});
    return actions;
  }
  const auto& answer = std::get<FreshnessAnswer>(message);
  const auto asked = questions_.find(answer.number);
  if (asked == questions_.end() || asked->second.to != from)
    return actions;
  asked->second.answered = true;
  const TimePoint sent = asked->second.sent;
  if (answer.acceptors)
    TakeSet(*answer.acceptors);
  if (answer.store) {
    TakeStore(answer.store->head, sent - answer.store->age);
    if (answer.store->head.revision > in_force_)
      actions.emplace_back(NewerRevisionSeen{answer.store->head, {}});
  }
  for (const AcceptorStatement& statement : answer.statements) {
    TakeStatement(statement, sent - statement.age);
    if (statement.revision > in_force_)
      actions.emplace_back(NewerRevisionSeen{{statement.revision, 0}, {}});
  }
  return actions;
}

FreshnessAnswer FreshnessCore::AnswerTo(
    const FreshnessQuestion& question,
    const std::optional<AcceptorStatement>& own,
    TimePoint now) const {
  FreshnessAnswer answer{question.number, {}, {}};
  if (question.epoch < acceptors_.epoch)
    answer.acceptors = acceptors_;
  if (store_ && now - store_->at < settings_.proof_validity)
    answer.store = StoreEvidence{{store_->revision, 0}, now - store_->at};
  if (own)
    answer.statements.push_back(*own);
  if (answer.store && StoreAnswers(now))
    return answer;
  for (const auto& [host, timed] : statements_) {
    if (host == self_.host || now - timed.at >= settings_.proof_validity)
      continue;
    answer.statements.push_back(timed.statement);
    answer.statements.back().age = now - timed.at;
  }
  return answer;
}

void FreshnessCore::OnOwnStatement(const AcceptorStatement& statement,
                                   TimePoint now) {
  TakeStatement(statement, now);
}

void FreshnessCore::TakeStatement(const AcceptorStatement& statement,
                                  TimePoint at) {
  TakeSet(statement.set);
  const auto known = statements_.find(statement.acceptor.host);
  if (known != statements_.end() && known->second.at >= at)
    return;
  statements_.insert_or_assign(statement.acceptor.host,
                               TimedStatement{statement, at});
  ProveByStatements();
}

// Every acceptor of the newest set has to have spoken, as of that set.
void FreshnessCore::ProveByStatements() {
  if (acceptors_.acceptors.empty())
    return;
  std::optional<Proof> proof;
  for (const Acceptor& acceptor : acceptors_.acceptors) {
    const auto known = statements_.find(acceptor.host);
    if (known == statements_.end() ||
        known->second.statement.acceptor != acceptor ||
        known->second.statement.set != acceptors_)
      return;
    const TimedStatement& timed = known->second;
    if (!proof)
      proof = Proof{timed.at, {}, {}};
    proof->at = std::min(proof->at, timed.at);
    proof->revision = std::max(proof->revision, timed.statement.revision);
    proof->pending_keys.insert(proof->pending_keys.end(),
                               timed.statement.pending_keys.begin(),
                               timed.statement.pending_keys.end());
  }
  if (proof->revision <= in_force_)
    proved_statements_ = std::move(proof);
}

bool FreshnessCore::IsValid(const Proof& proof, TimePoint now) const {
  return now - proof.at < settings_.proof_validity;
}

std::optional<Refusal> FreshnessCore::MayServe(AccessPolicy access,
                                               KeyId key,
                                               TimePoint now) const {
  if (access == AccessPolicy::kOpen)
    return std::nullopt;
  if (proved_store_ && IsValid(*proved_store_, now))
    return std::nullopt;
  if (proved_statements_ && IsValid(*proved_statements_, now)) {
    const auto& keys = proved_statements_->pending_keys;
    if (std::ranges::find(keys, key) == keys.end())
      return std::nullopt;
  }
  return Refusal{RefusalReason::kKeysStale, RunState::kNotRun,
                 settings_.retry_after};
}

std::optional<TimePoint> FreshnessCore::proved_at() const {
  std::optional<TimePoint> at;
  for (const auto* proof : {&proved_store_, &proved_statements_}) {
    if (proof->has_value() && (!at || (*proof)->at > *at))
      at = (*proof)->at;
  }
  return at;
}

}  // namespace comfreyvane
