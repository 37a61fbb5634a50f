// What MemberCore does with messages and rumours.
#include "comfreyvane/member/member_core.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {

namespace {

constexpr Duration kSyncPeriod = std::chrono::seconds(1);

}  // namespace

void MemberCore::Hear(HostId from,
                      const Heartbeat& beat,
                      TimePoint now,
                      MemberActions& actions) {
  for (const MemberRumour& rumour : beat.rumours)
    TakeRumour(rumour, now, actions);
  const Roster::Entry* entry = roster_.Find(from);
  if (entry == nullptr) {
    AskSync(from, now, actions);
    return;
  }
  HearSender(from, beat, now, actions);
  const FailureDomainId domain = entry->member.domain();
  if (domain != own_domain_) {
    if (const auto news = reach_.OnHeard(domain, now))
      PassOn(*news, from, now);
  } else {
    for (const DomainRumour& told : beat.domain_rumours) {
      if (const auto news = reach_.OnRumour(told, now))
        PassOn(*news, from, now);
    }
  }
  if (beat.reply_wanted)
    Beat(from, false, actions);
  const auto request = probe_requests_.find(from);
  if (request != probe_requests_.end()) {
    BeatWith(request->second, Roster::RumourOf(*entry), false, actions);
    probe_requests_.erase(request);
  }
  if (beat.digest != roster_.digest())
    AskSync(from, now, actions);
}

void MemberCore::HearSender(HostId from,
                            const Heartbeat& beat,
                            TimePoint now,
                            MemberActions& actions) {
  Roster::Entry& entry = *roster_.Find(from);
  const MemberRumour own{entry.member.descriptor, beat.incarnation,
                         beat.version, beat.state};
  TakeRumour(own, now, actions);
  if (beat.incarnation == entry.member.incarnation) {
    entry.member.last_heard = now;
    entry.suspect_since.reset();
  }
  const MemberRumour known = Roster::RumourOf(entry);
  const bool superseded = known.incarnation > beat.incarnation;
  const bool doubted =
      known.state == MemberState::kSuspect || known.state == MemberState::kDead;
  if (!superseded && !doubted)
    return;
  BeatWith(from, known, false, actions);
}

// Members of a domain that was out of reach are not taken for live before its
// own hosts have had the time to declare them dead.
void MemberCore::PassOn(const DomainRumour& rumour,
                        HostId heard,
                        TimePoint now) {
  rumours_.Add(rumour);
  dirty_ = urgent_ = true;
  const Duration outage = reach_.EndedOutage(rumour.domain, now);
  if (!rumour.reachable || outage < settings_.suspect_after)
    return;
  const Duration doubt = settings_.suspect_after + settings_.dead_after +
                         2 * settings_.heartbeat_period;
  for (auto& [id, entry] : roster_.entries()) {
    const bool restarted = entry.member.last_heard > now - outage;
    if (id != heard && !restarted && entry.member.domain() == rumour.domain)
      entry.readmit_at = now + doubt;
  }
}

void MemberCore::Probe(HostId from,
                       const ProbeRequest& request,
                       MemberActions& actions) {
  const HostId target = request.suspect.descriptor.id();
  if (target == self_)
    return;
  probe_requests_[target] = from;
  BeatWith(target, request.suspect, true, actions);
}

void MemberCore::AnswerSync(HostId from,
                            const SyncRequest& request,
                            MemberActions& actions) {
  std::vector<FailureDomainId> differing;
  for (const DomainDigest& own : roster_.DomainDigests()) {
    if (std::ranges::find(request.digests, own) == request.digests.end())
      differing.push_back(own.domain);
  }
  SyncReply reply{settings_.incarnation, {}};
  const std::size_t first =
      differing.empty() ? 0 : random_.Below(differing.size());
  for (std::size_t i = 0; i < differing.size(); ++i) {
    const FailureDomainId domain = differing[(first + i) % differing.size()];
    for (const auto& [id, entry] : roster_.entries()) {
      if (reply.members.size() == kRumoursPerSync)
        break;
      if (entry.member.domain() == domain &&
          entry.member.incarnation != Incarnation())
        reply.members.push_back(Roster::RumourOf(entry));
    }
  }
  if (!reply.members.empty())
    actions.emplace_back(SendMemberMessage{from, std::move(reply)});
}

void MemberCore::AskSync(HostId from, TimePoint now, MemberActions& actions) {
  if (now < next_sync_)
    return;
  next_sync_ = now + kSyncPeriod;
  SyncRequest request{settings_.incarnation, roster_.DomainDigests()};
  actions.emplace_back(SendMemberMessage{from, std::move(request)});
}

void MemberCore::TakeRumour(const MemberRumour& rumour,
                            TimePoint now,
                            MemberActions& actions) {
  if (rumour.descriptor.id() == self_) {
    TakeOwn(rumour, now, actions);
    return;
  }
  const HostId id = rumour.descriptor.id();
  const Roster::Entry* known = roster_.Find(id);
  if (known == nullptr && rumour.state == MemberState::kDead)
    return;
  const bool added = known == nullptr;
  const auto seen = [&](const Roster::Entry& entry) {
    return std::pair(entry.member.incarnation, roster_.StateOf(entry, now));
  };
  const auto before =
      added ? std::pair(Incarnation(), MemberState::kDead) : seen(*known);
  if (!roster_.Take(rumour, now))
    return;
  rumours_.Add(rumour);
  urgent_ = true;
  if (added || before != seen(*roster_.Find(id)))
    dirty_ = true;
}

// Refutes a doubt about this host by a greater version.
void MemberCore::TakeOwn(const MemberRumour& rumour,
                         TimePoint now,
                         MemberActions& actions) {
  const Member& own = roster_.Find(self_)->member;
  if (rumour.incarnation > own.incarnation) {
    actions.emplace_back(SelfResumed{});
    return;
  }
  const bool older = rumour.incarnation < own.incarnation ||
                     rumour.version < own.version ||
                     rumour.state <= MemberState::kLive;
  if (older || rumour.state == own.state)
    return;
  Restate(rumour.version + 1, now);
  if (rumour.state == MemberState::kDead)
    actions.emplace_back(SelfResumed{});
}

void MemberCore::Restate(std::uint32_t version, TimePoint now) {
  MemberRumour own = Roster::RumourOf(*roster_.Find(self_));
  own.version = version;
  roster_.Take(own, now);
  rumours_.Add(own);
  dirty_ = urgent_ = true;
}

}  // namespace comfreyvane
