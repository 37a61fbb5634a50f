#include "comfreyvane/member/rumour_queue.h"

#include <algorithm>

#include "comfreyvane/member/member_core.h"

namespace comfreyvane {

namespace {

constexpr std::size_t kRounds = 4;

template <typename Entries, typename Rumour, typename Same>
void Put(Entries& entries, const Rumour& rumour, Same same) {
  std::erase_if(entries, same);
  entries.insert(entries.begin(), {rumour, kRounds});
}

template <typename Entries>
void Age(Entries& entries) {
  for (auto& entry : entries)
    --entry.rounds_left;
  std::erase_if(entries, [](const auto& e) { return e.rounds_left == 0; });
}

}  // namespace

void RumourQueue::Add(const MemberRumour& rumour) {
  Put(members_, rumour, [&](const auto& entry) {
    return entry.rumour.descriptor.name == rumour.descriptor.name;
  });
}

void RumourQueue::Add(const DomainRumour& rumour) {
  Put(domains_, rumour,
      [&](const auto& entry) { return entry.rumour.domain == rumour.domain; });
}

void RumourQueue::Fill(Heartbeat& beat, bool own_domain) const {
  for (const auto& entry : members_) {
    if (beat.rumours.size() == kRumoursPerMessage)
      break;
    // Other domains have no part in a suspicion.
    if (own_domain || entry.rumour.state != MemberState::kSuspect)
      beat.rumours.push_back(entry.rumour);
  }
  if (!own_domain)
    return;
  for (const auto& entry : domains_) {
    if (beat.domain_rumours.size() == kRumoursPerMessage)
      break;
    beat.domain_rumours.push_back(entry.rumour);
  }
}

void RumourQueue::EndRound() {
  Age(members_);
  Age(domains_);
}

}  // namespace comfreyvane
