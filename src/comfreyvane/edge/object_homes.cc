#include "comfreyvane/edge/object_homes.h"

#include <algorithm>
#include <cstdint>
#include <unordered_set>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {
namespace {

/// Delay after which an object moves to a server that has joined and is its new
/// home; the objects are spread between these bounds, since each move costs a
/// cold run. Objects move at once while the other servers are busy.
constexpr Duration kMinMoveDelay = std::chrono::seconds(15);
constexpr Duration kMaxMoveDelay = std::chrono::seconds(45);

/// Load of the other servers of the region, as a fraction of their slots, from
/// which on objects move at once.
constexpr double kBusyLoadFraction = 0.5;

/// A region counts as large enough for all of its objects if it has at least
/// this fraction of an equal share of the servers.
constexpr double kMinRegionShare = 0.75;

/// Salt of the hash that selects the objects of a small region that have their
/// homes in other regions.
constexpr std::uint64_t kOtherRegionSalt = 0x61627264;

double UnitInterval(std::uint64_t hash) {
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

std::uint64_t HashOf(const ServerSlot& slot, std::uint64_t object) {
  return HashPair(slot.state.entry().id().value(), object);
}

/// The two servers with the highest hashes.
class Ranking {
 public:
  void Add(const ServerSlot* slot, std::uint64_t hash) {
    const Place place{slot, hash};
    if (first_.slot == nullptr || hash > first_.hash) {
      second_ = first_;
      first_ = place;
    } else if (second_.slot == nullptr || hash > second_.hash) {
      second_ = place;
    }
  }

  [[nodiscard]] bool IsBefore(const Ranking& other) const {
    return first_.slot != nullptr && first_.hash > other.first_.hash;
  }
  [[nodiscard]] const ServerSlot* first() const { return first_.slot; }
  [[nodiscard]] const ServerSlot* second() const { return second_.slot; }

 private:
  struct Place {
    const ServerSlot* slot = nullptr;
    std::uint64_t hash = 0;
  };
  Place first_;
  Place second_;
};

bool CanBeHome(const ServerSlot& slot,
               const PickRequest& request,
               HomeScope scope,
               TimePoint now) {
  if (!slot.MayRun(request) || slot.state.IsCold(now) ||
      now < slot.state.wait_until())
    return false;
  // A server that is not reached has failed for this host only.
  if (slot.reach != ServerReach::kDirect && scope == HomeScope::kAll)
    return true;
  return slot.reach != ServerReach::kNone && !slot.state.IsFailing(now);
}

/// @return whether a server joined long enough ago to be the home of an object.
///     The delay differs by object, so that objects move gradually.
bool IsSettled(const ServerSlot& slot, std::uint64_t object, TimePoint now) {
  if (slot.joined_at == TimePoint{})
    return true;
  const double delay_fraction =
      UnitInterval(HashPair(object, slot.state.entry().id().value()));
  return now - slot.joined_at >=
         kMinMoveDelay + Scaled(kMaxMoveDelay - kMinMoveDelay, delay_fraction);
}

/// @return whether an object of a region has its home in another region.
bool IsHomedInOtherRegion(std::uint64_t object,
                          RegionId self,
                          const std::vector<ServerSlot*>& slots) {
  std::unordered_set<RegionId> regions;
  double all = 0.0;
  double own = 0.0;
  for (const ServerSlot* slot : slots) {
    if (slot->state.is_leaving())
      continue;
    regions.insert(slot->region);
    all += 1.0;
    own += slot->region == self ? 1.0 : 0.0;
  }
  const double fair =
      kMinRegionShare * all /
      static_cast<double>(std::max<std::size_t>(1, regions.size()));
  return own < fair &&
         UnitInterval(HashPair(kOtherRegionSalt, object)) > own / fair;
}

}  // namespace

ObjectHomes HomesOf(const PickRequest& request,
                    RegionId self,
                    const std::vector<ServerSlot*>& slots,
                    HomeScope scope,
                    TimePoint now) {
  const bool in_other_region =
      request.regions.empty()
          ? IsHomedInOtherRegion(request.object, self, slots)
          : !request.MayRunIn(self);
  Ranking settled;
  Ranking any;
  Ranking elsewhere;
  Ranking limited;
  double running = 0.0;
  double settled_slots = 0.0;
  for (const ServerSlot* slot : slots) {
    if (!CanBeHome(*slot, request, scope, now))
      continue;
    const std::uint64_t hash = HashOf(*slot, request.object);
    const bool is_settled = IsSettled(*slot, request.object, now);
    if (!slot->limit.CanSend(now)) {
      if (is_settled && (slot->region == self) != in_other_region)
        limited.Add(slot, hash);
      continue;
    }
    if ((slot->region == self) == in_other_region) {
      if (is_settled)
        elsewhere.Add(slot, hash);
      continue;
    }
    any.Add(slot, hash);
    if (!is_settled)
      continue;
    settled.Add(slot, hash);
    running += slot->state.Running(now);
    settled_slots += slot->state.entry().slots;
  }
  const bool busy = running >= kBusyLoadFraction * settled_slots;
  const Ranking& near = busy ? any : settled;
  return {near.first(),
          elsewhere.first() == nullptr ? near.second() : elsewhere.first(),
          limited.IsBefore(near) ? limited.first() : nullptr};
}

}  // namespace comfreyvane
