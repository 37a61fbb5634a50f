#include "comfreyvane/member/roster.h"

#include <algorithm>
#include <tuple>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {

namespace {

HostDescriptor DescriptorOf(const HostListing& listing) {
  return {listing.name, listing.failure_domain, listing.address,
          listing.caller_port, listing.peer_port};
}

auto OrderOf(Incarnation incarnation,
             std::uint32_t version,
             MemberState state) {
  return std::tuple(incarnation, version, state);
}

std::uint64_t DigestOf(const Member& member) {
  const auto state = static_cast<std::uint64_t>(member.state);
  const std::uint64_t stage = HashPair(member.version, state);
  return HashPair(HashPair(member.id.value(), member.incarnation.value()),
                  stage);
}

}  // namespace

Roster::Roster(const MemberSettings& settings, TimePoint now)
    : settings_(settings) {
  Entry self;
  self.member = {settings.self.id(),   settings.self,
                 settings.incarnation, 1,
                 MemberState::kLive,   now};
  ToggleDigest(entries_.emplace(self.member.id, self).first->second);
}

void Roster::TakeList(const std::vector<HostListing>& list, TimePoint now) {
  for (auto& [id, entry] : entries_)
    entry.listed = false;
  for (const HostListing& listing : list) {
    const HostId id = HostId::Of(listing.name);
    auto [at, added] = entries_.try_emplace(id);
    Entry& entry = at->second;
    entry.listed = true;
    if (added)
      entry.member = {id, DescriptorOf(listing), {},
                      0,  MemberState::kSuspect, now};
    if (listing.state == HostState::kLive)
      entry.listed_leaving.reset();
    else if (!entry.listed_leaving)
      entry.listed_leaving = entry.member.incarnation;
  }
}

bool Roster::Take(const MemberRumour& rumour, TimePoint now) {
  const HostId id = rumour.descriptor.id();
  auto [at, added] = entries_.try_emplace(id);
  Entry& entry = at->second;
  if (added)
    entry.member = {id, rumour.descriptor, {}, 0, MemberState::kSuspect, now};
  const Member& known = entry.member;
  if (OrderOf(rumour.incarnation, rumour.version, rumour.state) <=
      OrderOf(known.incarnation, known.version, known.state))
    return added;
  Apply(entry, rumour, now);
  return true;
}

void Roster::Apply(Entry& entry, const MemberRumour& rumour, TimePoint now) {
  ToggleDigest(entry);
  Member& member = entry.member;
  const bool restarted = rumour.incarnation != member.incarnation;
  const bool was_dead = member.state == MemberState::kDead;
  const bool is_dead = rumour.state == MemberState::kDead;
  if (restarted) {
    member.descriptor = rumour.descriptor;
    member.last_heard = now;
    entry.deaths = 0;
    entry.readmit_at.reset();
  } else if (was_dead && !is_dead) {
    const auto shift = std::min<std::uint32_t>(entry.deaths, 8) - 1;
    entry.readmit_at = now + std::min(settings_.readmit_most,
                                      settings_.readmit_after * (1 << shift));
  }
  if (is_dead && !was_dead) {
    ++entry.deaths;
    entry.dead_since = now;
  }
  if (!is_dead) {
    entry.dead_since.reset();
  }
  entry.suspect_since.reset();
  member.incarnation = rumour.incarnation;
  member.version = rumour.version;
  member.state = rumour.state;
  ToggleDigest(entry);
}

void Roster::Forget(TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    const Member& member = entry.member;
    const bool never_heard = member.incarnation == Incarnation();
    if (entry.listed || member.id == settings_.self.id())
      return false;
    const bool old =
        entry.dead_since && now - *entry.dead_since >= settings_.forget_after;
    if (!never_heard && !old)
      return false;
    ToggleDigest(entry);
    return true;
  });
}

Roster::Entry* Roster::Find(HostId host) {
  const auto at = entries_.find(host);
  return at == entries_.end() ? nullptr : &at->second;
}

const Roster::Entry* Roster::Find(HostId host) const {
  const auto at = entries_.find(host);
  return at == entries_.end() ? nullptr : &at->second;
}

MemberRumour Roster::RumourOf(const Entry& entry) {
  const Member& member = entry.member;
  return {member.descriptor, member.incarnation, member.version, member.state};
}

MemberState Roster::StateOf(const Entry& entry, TimePoint now) const {
  const Member& member = entry.member;
  if (member.state == MemberState::kDead)
    return MemberState::kDead;
  const bool listed_leaving =
      entry.listed_leaving && member.incarnation <= *entry.listed_leaving;
  if (listed_leaving || member.state == MemberState::kLeaving)
    return MemberState::kLeaving;
  if (entry.readmit_at && now < *entry.readmit_at)
    return MemberState::kSuspect;
  const bool heard = member.incarnation != Incarnation();
  return heard ? MemberState::kLive : MemberState::kSuspect;
}

std::vector<DomainDigest> Roster::DomainDigests() const {
  std::vector<DomainDigest> digests;
  digests.reserve(domain_digests_.size());
  for (const auto& [domain, digest] : domain_digests_)
    digests.push_back({domain, digest});
  return digests;
}

// Members that are only listed, or dead and soon forgotten, may differ between
// hosts without need for repair.
void Roster::ToggleDigest(const Entry& entry) {
  if (entry.member.incarnation == Incarnation() ||
      entry.member.state == MemberState::kDead)
    return;
  const std::uint64_t digest = DigestOf(entry.member);
  digest_ ^= digest;
  domain_digests_[entry.member.domain()] ^= digest;
}

}  // namespace comfreyvane
