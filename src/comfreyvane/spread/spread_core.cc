#include "comfreyvane/spread/spread_core.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/spread/row_text.h"

namespace comfreyvane {

namespace {

constexpr std::size_t kKeptHistory = 256;
// Peers of the own failure domain that a starting host asks.
constexpr std::size_t kAskedSiblings = 8;

// Relays that sum up what the hosts of their domain have confirmed.
constexpr std::size_t kCountingRelays = 2;

// Rounds of notices between two to those relays.
constexpr std::uint64_t kRoundsPerCount = 10;

// A host that was heard so lately counts, whatever the view says of it.
constexpr Duration kHeardLately = std::chrono::seconds(1);

void AddOnce(std::vector<HostId>& hosts, const std::vector<HostId>& more) {
  for (const HostId host : more) {
    if (std::ranges::find(hosts, host) == hosts.end())
      hosts.push_back(host);
  }
}

const std::string* FindValue(const TableReading& reading,
                             std::string_view key) {
  const auto at = std::ranges::find(reading.rows, key, &TableRow::key);
  const bool found = at != reading.rows.end() && at->revision > Revision();
  return found ? &at->value : nullptr;
}

}  // namespace

SpreadCore::SpreadCore(HostId self,
                       Incarnation incarnation,
                       SpreadSettings settings,
                       TimePoint now)
    : self_(self),
      incarnation_(incarnation),
      settings_(settings),
      view_(std::make_shared<const MemberView>()),
      question_(HashPair(self.value(), incarnation.value()) | 1),
      started_(now),
      next_notice_(now),
      next_request_(now),
      next_head_read_(now) {}

SpreadActions SpreadCore::SetMembers(MemberViewPtr view,
                                     const PeerGraph& graph,
                                     TimePoint now) {
  view_ = std::move(view);
  graph_ = graph;
  targets_.clear();
  AddOnce(targets_, graph_.domain_peers);
  AddOnce(targets_, graph_.watched);
  siblings_.clear();
  const Member* own = view_->Find(self_);
  for (const Member& member : view_->members()) {
    if (own != nullptr && member.id != self_ &&
        member.domain() == own->domain())
      siblings_.push_back(member.id);
  }
  AddOnce(targets_, graph_.link_peers);
  counters_.assign(
      graph_.relays.begin(),
      graph_.relays.begin() + static_cast<std::ptrdiff_t>(std::min(
                                  graph_.relays.size(), kCountingRelays)));
  SpreadActions actions;
  Advance(held_revision(), now, actions);
  return actions;
}

SpreadActions SpreadCore::OnTick(TimePoint now) {
  SpreadActions actions;
  const bool starting = phase_ == SpreadPhase::kStarting;
  if (now >= next_notice_) {
    next_notice_ =
        now + (starting ? settings_.repeat_period : settings_.notice_period);
    Confirm(actions);
    if (starting)
      Seek(actions);
    else
      NotifyPeers(actions);
    board_.EndRound();
    if (++rounds_ % kRoundsPerCount == 0)
      NotifyCounters(actions);
  }
  if (starting && now >= next_head_read_) {
    next_head_read_ = now + settings_.store_period;
    reads_.emplace(next_number_, now);
    Read({kHeadKey}, actions);
  }
  PushToPeers(now, actions);
  CatchUp(now, actions);
  Advance(held_revision(), now, actions);
  return actions;
}

// Asks whoever may know a newer revision than this starting host.
void SpreadCore::Seek(SpreadActions& actions) {
  std::vector<HostId> asked = targets_;
  for (std::size_t i = 0; i < siblings_.size() && i < kAskedSiblings; ++i)
    AddOnce(asked, {siblings_[i]});
  RevisionNotice notice = OwnNotice();
  notice.question = question_;
  for (const HostId host : asked)
    actions.emplace_back(SendSpreadMessage{host, notice});
}

SpreadActions SpreadCore::OnMessage(HostId from,
                                    const SpreadMessage& message,
                                    TimePoint now) {
  SpreadActions actions;
  const Revision before = held_revision();
  if (const auto* notice = std::get_if<RevisionNotice>(&message)) {
    Hear(from, *notice, now, actions);
  } else if (const auto* request = std::get_if<RevisionRequest>(&message)) {
    Peer& peer = peers_[from];
    peer.held = request->held;
    Push(from, now, actions);
  } else if (const auto* chain = std::get_if<DeltaChain>(&message)) {
    Take(chain->deltas);
    if (!chain->deltas.empty())
      newest_ = std::max(newest_, chain->deltas.back().to);
  } else if (const auto* full = std::get_if<FullDocument>(&message)) {
    TakeFull(full->document);
  }
  Advance(before, now, actions);
  return actions;
}

void SpreadCore::Hear(HostId from,
                      const RevisionNotice& notice,
                      TimePoint now,
                      SpreadActions& actions) {
  Peer& peer = peers_[from];
  if (notice.incarnation < peer.incarnation)
    return;
  if (notice.incarnation > peer.incarnation)
    peer = Peer();
  peer.incarnation = notice.incarnation;
  peer.held = std::max(peer.held, notice.held);
  peer.in_force = notice.in_force;
  peer.proved = notice.proved;
  peer.known = true;
  peer.heard = now;
  // Only an answer shows what the peer holds now; a notice may have waited
  // while this host was paused.
  if (notice.answer == question_) {
    peer.answered = true;
    peer.answers_proved = notice.proved;
  }
  newest_ = std::max(newest_, notice.held);
  actions.emplace_back(
      RevisionConfirmed{from, notice.incarnation, notice.in_force});
  for (const DomainConfirmation& confirmation : notice.confirmations) {
    if (board_.Take(confirmation))
      actions.emplace_back(DomainConfirmed{confirmation});
  }
  if (notice.question == 0)
    return;
  RevisionNotice answer = OwnNotice();
  answer.answer = notice.question;
  actions.emplace_back(SendSpreadMessage{from, std::move(answer)});
}

SpreadActions SpreadCore::OnAccepted(const ConfigurationDelta& delta,
                                     TimePoint now) {
  SpreadActions actions;
  const Revision before = held_revision();
  newest_ = std::max(newest_, delta.to);
  Take({delta});
  Advance(before, now, actions);
  return actions;
}

SpreadActions SpreadCore::OnHead(const HeadRow& head,
                                 std::optional<TimePoint> begun,
                                 TimePoint now) {
  SpreadActions actions;
  newest_ = std::max(newest_, head.revision);
  if (begun && *begun >= started_)
    store_proved_ = true;
  Advance(held_revision(), now, actions);
  return actions;
}

SpreadActions SpreadCore::OnRead(std::uint64_t number,
                                 const TableReading& reading,
                                 TimePoint now) {
  if (reading.status != TableStatus::kDone)
    return {};
  const auto head_read = reads_.find(number);
  if (head_read != reads_.end()) {
    const TimePoint begun = head_read->second;
    reads_.clear();
    const std::string* text = FindValue(reading, kHeadKey);
    const auto head = HeadRow::Parse(text == nullptr ? "" : *text);
    return head ? OnHead(*head, begun, now) : SpreadActions();
  }
  SpreadActions actions;
  const Revision before = held_revision();
  if (const auto* text = FindValue(reading, FullKey(FullRevision(newest_)))) {
    if (const auto full = ParseDocument(*text))
      TakeFull(*full);
  }
  while (const auto* text =
             FindValue(reading, DeltaKey(held_revision().next()))) {
    const auto delta = ParseDelta(*text);
    if (!delta || delta->to != held_revision().next())
      break;
    const Revision last = held_revision();
    Take({*delta});
    if (held_revision() == last)
      break;
  }
  Advance(before, now, actions);
  return actions;
}

SpreadActions SpreadCore::Reprove(TimePoint now) {
  SpreadActions actions;
  phase_ = SpreadPhase::kStarting;
  started_ = now;
  store_proved_ = false;
  reads_.clear();
  for (auto& [host, peer] : peers_) {
    peer.answered = false;
  }
  question_ = HashPair(question_, 1) | 1;
  next_notice_ = now;
  next_head_read_ = now;
  return actions;
}

Revision SpreadCore::held_revision() const {
  return held_ == nullptr ? Revision() : held_->revision;
}

const SpreadCore::Peer* SpreadCore::PeerOf(HostId host) const {
  const auto at = peers_.find(host);
  return at == peers_.end() ? nullptr : &at->second;
}

// Takes the deltas that follow what is held; others change nothing.
void SpreadCore::Take(const std::vector<ConfigurationDelta>& deltas) {
  for (const ConfigurationDelta& delta : deltas) {
    if (delta.from != held_revision())
      continue;
    const ConfigurationDocument base =
        held_ == nullptr ? ConfigurationDocument() : *held_;
    auto next = delta.ApplyTo(base);
    if (!next)
      return;
    Hold(std::move(*next));
    history_.push_back(delta);
    if (history_.size() > kKeptHistory)
      history_.pop_front();
  }
}

void SpreadCore::TakeFull(const ConfigurationDocument& document) {
  newest_ = std::max(newest_, document.revision);
  if (document.revision <= held_revision())
    return;
  history_.clear();
  Hold(document);
}

void SpreadCore::Hold(ConfigurationDocument document) {
  held_ = std::make_shared<const ConfigurationDocument>(std::move(document));
  waiting_.push_back(held_);
}

void SpreadCore::Advance(Revision before,
                         TimePoint now,
                         SpreadActions& actions) {
  if (held_revision() > before) {
    requests_ = 0;
    newest_ = std::max(newest_, held_revision());
    PushToPeers(now, actions);
    for (const HostId host : targets_) {
      if (std::ranges::find(siblings_, host) != siblings_.end())
        Notify(host, actions);
    }
  }
  TryReady(now);
  TryForce(now, actions);
}

// What this host holds has to be the newest that it can know of.
void SpreadCore::TryReady(TimePoint now) {
  if (phase_ == SpreadPhase::kReady || held_revision() < newest_)
    return;
  const bool waited = now - started_ >= settings_.start_wait;
  if (!store_proved_ && !(waited && PeersProve()))
    return;
  phase_ = SpreadPhase::kReady;
  // An earlier run of this host may have been beyond all but the newest.
  if (waiting_.size() > 1)
    waiting_.erase(waiting_.begin(), waiting_.end() - 1);
}

// Half of the other hosts of the domain, so that whatever this host may have
// had in force in an earlier run is known to one of them. A domain of one host
// goes by its links.
bool SpreadCore::PeersProve() const {
  const auto& asked = siblings_.empty() ? graph_.link_peers : siblings_;
  std::size_t proved = 0;
  for (const HostId host : asked) {
    const Peer* peer = PeerOf(host);
    const Member* member = view_->Find(host);
    const bool answered = peer != nullptr && peer->answered;
    if (answered && peer->answers_proved)
      ++proved;
    const bool gone = member == nullptr ||
                      member->state == MemberState::kDead ||
                      member->state == MemberState::kUnreachable;
    const bool near = std::ranges::find(targets_, host) != targets_.end();
    if (near && !answered && !gone && !siblings_.empty())
      return false;
  }
  const std::size_t wanted = std::min(asked.size(), kAskedSiblings);
  return proved > 0 && 2 * proved >= wanted;
}

void SpreadCore::TryForce(TimePoint now, SpreadActions& actions) {
  if (phase_ != SpreadPhase::kReady)
    return;
  const ConfigurationDocumentPtr before = in_force_;
  while (!waiting_.empty() && IsHeldNearby(waiting_.front()->revision, now)) {
    in_force_ = waiting_.front();
    waiting_.pop_front();
  }
  if (in_force_ == before)
    return;
  actions.emplace_back(PutInForce{in_force_});
  actions.emplace_back(
      RevisionConfirmed{self_, incarnation_, in_force_->revision});
  NotifyCounters(actions);
}

bool SpreadCore::IsHeldNearby(Revision revision, TimePoint now) const {
  for (const HostId host : siblings_) {
    const Member* member = view_->Find(host);
    const Peer* peer = PeerOf(host);
    const bool lately = peer != nullptr && now - peer->heard < kHeardLately &&
                        peer->incarnation >= member->incarnation;
    const bool present = member->state != MemberState::kDead &&
                         member->incarnation != Incarnation();
    const bool near = std::ranges::find(targets_, host) != targets_.end();
    if (!lately && !(present && near))
      continue;
    if (!near && siblings_.size() > kAskedSiblings)
      continue;
    const bool holds = peer != nullptr && peer->held >= revision &&
                       peer->incarnation >= member->incarnation;
    if (!holds)
      return false;
  }
  return true;
}

}  // namespace comfreyvane
