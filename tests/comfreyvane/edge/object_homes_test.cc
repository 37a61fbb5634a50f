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

/// Servers of two regions as seen by a host in the west.
class Servers {
 public:
  Servers(int west, int east) {
    Add("w", "west-a", kWest, west);
    Add("e", "east-a", kEast, east);
  }

  [[nodiscard]] ObjectHomes HomesOf(const PickRequest& request) const {
    return comfreyvane::HomesOf(request, kWest, slots_, HomeScope::kReachable,
                                kStart);
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

Test(object_homes, the_overflow_server_is_in_another_region) {
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

Test(object_homes, the_overflow_server_is_in_the_only_region) {
  const Servers servers(3, 0);
  const ObjectHomes found = servers.HomesOf(RequestFor(7));
  cr_assert(found.home != nullptr && found.overflow != nullptr);
  cr_expect(found.home != found.overflow);
}

Test(object_homes, some_objects_of_a_small_region_have_homes_in_others) {
  const Servers servers(2, 10);
  int in_other_region = 0;
  for (std::uint64_t object = 1; object <= 100; ++object)
    in_other_region +=
        servers.HomesOf(RequestFor(object)).home->region == kEast ? 1 : 0;
  cr_expect(in_other_region > 35 && in_other_region < 75, "%d",
            in_other_region);
}

Test(object_homes, a_server_that_sheds_remains_the_home) {
  const Servers servers(4, 4);
  const ObjectHomes before = servers.HomesOf(RequestFor(7));
  Finish(servers.Find(before.home), RequestOutcome::kShed);
  cr_expect(before.home->state.IsEjected(kStart),
            "it gets no requests for now");
  cr_expect(servers.HomesOf(RequestFor(7)) == before);
}

Test(object_homes, an_object_gets_a_new_home_if_the_server_is_unreachable) {
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

Test(object_homes, a_request_restricted_to_another_region_has_its_homes_there) {
  const Servers servers(4, 4);
  PickRequest request = RequestFor(7);
  request.regions = {kEast};
  const ObjectHomes found = servers.HomesOf(request);
  cr_assert(found.home != nullptr && found.overflow != nullptr);
  cr_expect(found.home->region == kEast);
  cr_expect(found.overflow->region == kEast);
}

Test(object_homes, there_are_no_homes_without_servers) {
  cr_expect(Servers(0, 0).HomesOf(RequestFor(7)) == ObjectHomes());
}
