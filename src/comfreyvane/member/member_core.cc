#include "comfreyvane/member/member_core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace comfreyvane {

namespace {

constexpr std::size_t kProbeHelpers = 3;

// Unreachable domains that each heartbeat repeats.
constexpr std::size_t kRepeated = 4;

constexpr Duration kForgetPeriod = std::chrono::seconds(10);

bool Contains(const std::vector<HostId>& hosts, HostId host) {
  return std::ranges::find(hosts, host) != hosts.end();
}

}  // namespace

MemberCore::MemberCore(MemberSettings settings,
                       std::uint64_t seed,
                       TimePoint now)
    : settings_(std::move(settings)),
      self_(settings_.self.id()),
      own_domain_(settings_.self.domain()),
      random_(seed),
      roster_(settings_, now),
      reach_(settings_.suspect_after, settings_.dead_after),
      last_event_(now),
      next_beat_(now),
      next_sync_(now),
      next_forget_(now + kForgetPeriod) {
  assert(settings_.incarnation > Incarnation());
  rumours_.Add(Roster::RumourOf(*roster_.Find(self_)));
  MemberActions ignored;
  Publish(now, ignored);
}

MemberActions MemberCore::OnTick(TimePoint now) {
  MemberActions actions;
  NoticePause(now, actions);
  if (now >= next_beat_) {
    next_beat_ = now + settings_.heartbeat_period;
    BeatPeers(actions);
    for (const FailureDomainId domain : reach_.WatchedUnreachable())
      ProbeDomain(domain, 1, actions);
    rumours_.EndRound();
    ++rounds_;
  }
  for (const HostId host : graph_.watched) {
    Roster::Entry* entry = roster_.Find(host);
    if (entry != nullptr)
      Suspect(*entry, now, actions);
  }
  WatchDomains(now, actions);
  if (now >= next_forget_) {
    next_forget_ = now + kForgetPeriod;
    roster_.Forget(now);
    dirty_ = true;
  }
  Finish(now, actions);
  return actions;
}

MemberActions MemberCore::OnHostList(const std::vector<HostListing>& list,
                                     TimePoint now) {
  MemberActions actions;
  NoticePause(now, actions);
  roster_.TakeList(list, now);
  dirty_ = true;
  Finish(now, actions);
  return actions;
}

MemberActions MemberCore::OnMessage(HostId from,
                                    const MemberMessage& message,
                                    TimePoint now) {
  MemberActions actions;
  NoticePause(now, actions);
  if (const auto* beat = std::get_if<Heartbeat>(&message)) {
    Hear(from, *beat, now, actions);
  } else if (const auto* probe = std::get_if<ProbeRequest>(&message)) {
    Probe(from, *probe, actions);
  } else if (const auto* request = std::get_if<SyncRequest>(&message)) {
    AnswerSync(from, *request, actions);
  } else if (const auto* reply = std::get_if<SyncReply>(&message)) {
    for (const MemberRumour& rumour : reply->members)
      TakeRumour(rumour, now, actions);
  }
  Finish(now, actions);
  return actions;
}

MemberActions MemberCore::Leave(TimePoint now) {
  MemberActions actions;
  MemberRumour own = Roster::RumourOf(*roster_.Find(self_));
  if (own.state != MemberState::kLeaving) {
    ++own.version;
    own.state = MemberState::kLeaving;
    roster_.Take(own, now);
    rumours_.Add(own);
    dirty_ = urgent_ = true;
  }
  Finish(now, actions);
  return actions;
}

// A process that was paused has heard nobody; that says nothing of the others.
void MemberCore::NoticePause(TimePoint now, MemberActions& actions) {
  const Duration silent = now - last_event_;
  last_event_ = now;
  if (silent < settings_.pause_threshold)
    return;
  for (const HostId host : graph_.watched) {
    Roster::Entry* entry = roster_.Find(host);
    if (entry == nullptr)
      continue;
    entry->member.last_heard = now;
    entry->suspect_since.reset();
  }
  reach_.Restart(now);
  Restate(roster_.Find(self_)->member.version + 1, now);
  actions.emplace_back(SelfResumed{silent});
}

Heartbeat MemberCore::OwnBeat(HostId to) const {
  const Roster::Entry* entry = roster_.Find(to);
  const Member& own = roster_.Find(self_)->member;
  Heartbeat beat;
  beat.incarnation = settings_.incarnation;
  beat.version = own.version;
  beat.state = own.state;
  beat.digest = roster_.digest();
  const bool near = entry && entry->member.domain() == own_domain_;
  rumours_.Fill(beat, near);
  if (!near)
    return beat;
  for (const DomainRumour& rumour : reach_.Unreachable(rounds_, kRepeated)) {
    if (std::ranges::find(beat.domain_rumours, rumour) ==
        beat.domain_rumours.end())
      beat.domain_rumours.push_back(rumour);
  }
  return beat;
}

void MemberCore::Beat(HostId to, bool reply_wanted, MemberActions& actions) {
  Heartbeat beat = OwnBeat(to);
  beat.reply_wanted = reply_wanted;
  actions.emplace_back(SendMemberMessage{to, std::move(beat)});
}

void MemberCore::BeatWith(HostId to,
                          const MemberRumour& rumour,
                          bool reply_wanted,
                          MemberActions& actions) {
  Heartbeat beat = OwnBeat(to);
  beat.reply_wanted = reply_wanted;
  beat.rumours.insert(beat.rumours.begin(), rumour);
  if (beat.rumours.size() > kRumoursPerMessage)
    beat.rumours.pop_back();
  actions.emplace_back(SendMemberMessage{to, std::move(beat)});
}

void MemberCore::BeatPeers(MemberActions& actions) {
  for (const HostId host : graph_.domain_peers)
    Beat(host, false, actions);
  for (const HostId host : graph_.link_peers)
    Beat(host, false, actions);
}

void MemberCore::Suspect(Roster::Entry& entry,
                         TimePoint now,
                         MemberActions& actions) {
  if (entry.suspect_since) {
    if (now - *entry.suspect_since < settings_.dead_after)
      return;
    MemberRumour dead = Roster::RumourOf(entry);
    dead.state = MemberState::kDead;
    TakeRumour(dead, now, actions);
    return;
  }
  if (now - entry.member.last_heard < settings_.suspect_after)
    return;
  MemberRumour suspect = Roster::RumourOf(entry);
  suspect.state = MemberState::kSuspect;
  TakeRumour(suspect, now, actions);
  entry.suspect_since = now;
  const HostId target = entry.member.id;
  Beat(target, true, actions);
  for (const HostId helper : Helpers(target)) {
    const ProbeRequest request{settings_.incarnation, suspect};
    actions.emplace_back(SendMemberMessage{helper, request});
  }
}

std::vector<HostId> MemberCore::Helpers(HostId target) {
  std::vector<HostId> near;
  std::vector<HostId> far;
  for (const Member* member : view_->Live()) {
    if (member->id == self_ || member->id == target)
      continue;
    (member->domain() == own_domain_ ? near : far).push_back(member->id);
  }
  std::vector<HostId> helpers;
  for (std::vector<HostId>* group : {&near, &far}) {
    while (!group->empty() && helpers.size() < kProbeHelpers) {
      const std::size_t pick = random_.Below(group->size());
      helpers.push_back((*group)[pick]);
      (*group)[pick] = group->back();
      group->pop_back();
    }
  }
  return helpers;
}

void MemberCore::WatchDomains(TimePoint now, MemberActions& actions) {
  std::vector<FailureDomainId> suspected;
  for (const DomainRumour& rumour : reach_.OnTick(now, suspected)) {
    rumours_.Add(rumour);
    dirty_ = urgent_ = true;
  }
  for (const FailureDomainId domain : suspected)
    ProbeDomain(domain, kProbeHelpers, actions);
}

// The hosts at the ends of its links may be the ones that are gone.
void MemberCore::ProbeDomain(FailureDomainId domain,
                             std::size_t count,
                             MemberActions& actions) {
  std::vector<HostId> hosts;
  for (const Member& member : view_->members()) {
    if (member.domain() == domain && member.state != MemberState::kDead)
      hosts.push_back(member.id);
  }
  for (std::size_t i = 0; i < count && !hosts.empty(); ++i) {
    const std::size_t pick = random_.Below(hosts.size());
    Beat(hosts[pick], true, actions);
    hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void MemberCore::Finish(TimePoint now, MemberActions& actions) {
  if (dirty_ || (next_readmission_ && now >= *next_readmission_))
    Publish(now, actions);
  if (!urgent_)
    return;
  urgent_ = false;
  BeatPeers(actions);
}

void MemberCore::Publish(TimePoint now, MemberActions& actions) {
  dirty_ = false;
  next_readmission_.reset();
  std::vector<Member> members;
  members.reserve(roster_.entries().size());
  for (const auto& [id, entry] : roster_.entries()) {
    Member member = entry.member;
    member.state = roster_.StateOf(entry, now);
    if (member.state != MemberState::kDead &&
        !reach_.IsReached(member.domain()))
      member.state = MemberState::kUnreachable;
    if (entry.readmit_at && now < *entry.readmit_at)
      next_readmission_ = std::min(
          next_readmission_.value_or(*entry.readmit_at), *entry.readmit_at);
    members.push_back(std::move(member));
  }
  const MemberViewPtr old = view_;
  view_ = std::make_shared<const MemberView>(std::move(members));
  SetGraph(now);
  for (const Member& member : view_->members()) {
    const Member* before = old == nullptr ? nullptr : old->Find(member.id);
    if (before == nullptr || before->state != member.state ||
        before->incarnation != member.incarnation)
      actions.emplace_back(
          MemberChanged{member.id, member.incarnation, member.state});
  }
}

void MemberCore::SetGraph(TimePoint now) {
  PeerGraph graph = PeerGraph::Of(*view_, self_);
  for (const HostId host : graph.watched) {
    if (!Contains(graph_.watched, host))
      roster_.Find(host)->member.last_heard = now;
  }
  std::vector<FailureDomainId> domains;
  for (const HostId host : graph.link_peers)
    domains.push_back(view_->Find(host)->domain());
  reach_.Watch(domains, now);
  graph_ = std::move(graph);
}

}  // namespace comfreyvane
