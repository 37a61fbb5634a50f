#include "comfreyvane/steer/lookup_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace comfreyvane {
namespace {

LookupTable::SiteStates::const_iterator FindState(
    const LookupTable::SiteStates& states,
    SiteId site) {
  const auto found =
      std::ranges::lower_bound(states, site, {}, &SiteState::site);
  return found != states.end() && found->site == site ? found : states.end();
}

}  // namespace

LookupTable::LookupTable(Revision revision,
                         std::shared_ptr<const BlockIndex> index,
                         std::shared_ptr<const SiteStates> states)
    : revision_(revision),
      index_(std::move(index)),
      states_(std::move(states)) {
  assert(index_ && states_);
  assert(std::ranges::is_sorted(*states_, {}, &SiteState::site));
}

std::optional<LookupMatch> LookupTable::Find(
    const ClientAddress& address) const {
  const std::uint16_t position = index_->Find(address);
  if (position == BlockIndex::kNoValue)
    return std::nullopt;
  return LookupMatch{(*states_)[position]};
}

const SiteState* LookupTable::State(SiteId site) const {
  const auto found = FindState(*states_, site);
  return found == states_->end() ? nullptr : &*found;
}

std::shared_ptr<const LookupTable> LookupTable::WithSite(
    const SiteState& state) const {
  const auto found = FindState(*states_, state.site);
  if (found == states_->end())
    return nullptr;
  auto states = std::make_shared<SiteStates>(*states_);
  (*states)[static_cast<std::size_t>(found - states_->begin())] = state;
  return std::make_shared<const LookupTable>(revision_, index_,
                                             std::move(states));
}

std::size_t LookupTable::bytes() const {
  return sizeof(*this) + sizeof(BlockIndex) + index_->bytes() +
         sizeof(SiteStates) + states_->capacity() * sizeof(SiteState);
}

}  // namespace comfreyvane
