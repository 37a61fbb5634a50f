#include "comfreyvane/edge/object_homes.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "comfreyvane/edge/edge_fixture.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;

namespace {

const RegionId kWest = RegionId::Of("west");
const RegionId kEast = RegionId::Of("east");

/// Servers of two regions as a host in the west sees them.
class Servers {
 public:
  Servers(int west, int east) {
    Add("w", "west-a", kWest, west);
    Add("e", "east-a", kEast, east);
  }

  [[nodiscard]] ObjectHomes HomesOf(const PickRequest& request) const {
    return comfreyvane::HomesOf(request, kWest, slots_, kStart);
  }
  [[nodiscard]] ServerSlot& Find(const ServerSlot* wanted) const {
    for (ServerSlot* slot : slots_) {
      if (slot == wanted)
        return *slot;
    }
    cr_assert(false, "no such server");
    return *slots_.front();
  }

 private:
  void Add(const std::string& prefix,
           const std::string& domain,
           RegionId region,
           int count) {
    for (int i = 0; i < count; ++i) {
      const BackendEntry entry = EntryOf(prefix + std::to_string(i), domain);
      owned_.push_back(std::make_unique<ServerSlot>(ServerSlot{
          BackendState(entry, kStart),
          region == kWest ? Distance::kSameRegion : Distance::kOtherRegion,
          region}));
      slots_.push_back(owned_.back().get());
    }
  }

  std::vector<std::unique_ptr<ServerSlot>> owned_;
  std::vector<ServerSlot*> slots_;
};

void Finish(ServerSlot& slot, RequestOutcome outcome) {
  slot.state.OnStarted(kStart);
  slot.state.OnFinished(outcome, milliseconds(5), milliseconds(300), 1, kStart);
}

}  // namespace

Test(object_homes, overflow_is_in_another_region) {
  const Servers servers(6, 6);
  std::set<const ServerSlot*> homes;
  for (std::uint64_t object = 1; object <= 60; ++object) {
    const ObjectHomes found = servers.HomesOf(RequestFor(object));
    cr_assert(found.home != nullptr && found.overflow != nullptr);
    cr_expect(found.home->region == kWest);
    cr_expect(found.overflow->region == kEast);
    homes.insert(found.home);
  }
  cr_expect_eq(homes.size(), 6U, "objects are spread over the servers");
}

Test(object_homes, overflow_stays_in_the_region_where_there_is_no_other) {
  const Servers servers(3, 0);
  const ObjectHomes found = servers.HomesOf(RequestFor(7));
  cr_assert(found.home != nullptr && found.overflow != nullptr);
  cr_expect(found.home != found.overflow);
}

Test(object_homes, a_small_region_has_part_of_its_objects_at_home_elsewhere) {
  const Servers servers(2, 10);
  int abroad = 0;
  for (std::uint64_t object = 1; object <= 100; ++object)
    abroad += servers.HomesOf(RequestFor(object)).home->region == kEast ? 1 : 0;
  cr_expect(abroad > 35 && abroad < 75, "%d", abroad);
}

Test(object_homes, a_server_that_sheds_stays_the_home) {
  const Servers servers(4, 4);
  const ObjectHomes before = servers.HomesOf(RequestFor(7));
  Finish(servers.Find(before.home), RequestOutcome::kShed);
  cr_expect(before.home->state.IsEjected(kStart), "it is left alone");
  cr_expect(servers.HomesOf(RequestFor(7)) == before);
}

Test(object_homes, an_object_leaves_a_server_that_cannot_be_reached) {
  const Servers servers(4, 4);
  const ObjectHomes before = servers.HomesOf(RequestFor(7));
  Finish(servers.Find(before.home), RequestOutcome::kConnectFailed);
  const ObjectHomes after = servers.HomesOf(RequestFor(7));
  cr_expect(after.home != before.home);
  cr_expect(after.home->region == kWest);
  cr_expect(after.overflow == before.overflow);
}

Test(object_homes, a_retry_finds_another_home) {
  const Servers servers(4, 4);
  PickRequest request = RequestFor(7);
  const ObjectHomes before = servers.HomesOf(request);
  request.excluded = {before.home->state.entry().id()};
  const ObjectHomes after = servers.HomesOf(request);
  cr_expect(after.home != nullptr && after.home != before.home);
}

Test(object_homes, a_request_bound_to_another_region_is_at_home_there) {
  const Servers servers(4, 4);
  PickRequest request = RequestFor(7);
  request.regions = {kEast};
  const ObjectHomes found = servers.HomesOf(request);
  cr_assert(found.home != nullptr && found.overflow != nullptr);
  cr_expect(found.home->region == kEast);
  cr_expect(found.overflow->region == kEast);
}

Test(object_homes, there_is_none_without_servers) {
  cr_expect(Servers(0, 0).HomesOf(RequestFor(7)) == ObjectHomes());
}
