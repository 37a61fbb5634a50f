#include "comfreyvane/edge/server_cost.h"

#include "comfreyvane/edge/edge_fixture.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;

namespace {

ServerSlot SlotWith(std::uint32_t slots) {
  return {BackendState(EntryOf("w1", "west-a", slots), kStart)};
}

void Start(ServerSlot& slot, int requests) {
  for (int i = 0; i < requests; ++i)
    slot.state.OnStarted(kStart);
}

}  // namespace

Test(server_cost, two_requests_may_wait_per_slot) {
  ServerSlot slot = SlotWith(3);
  Start(slot, 8);
  cr_expect(HasRoom(slot, kStart));
  Start(slot, 1);
  cr_expect(!HasRoom(slot, kStart));
}

Test(server_cost, requests_of_other_hosts_count_against_the_capacity) {
  ServerSlot slot = SlotWith(3);
  Start(slot, 2);
  slot.state.OnPeerUse(6, kStart);
  cr_expect(HasRoom(slot, kStart));
  slot.state.OnPeerUse(7, kStart);
  cr_expect(!HasRoom(slot, kStart));
}

Test(server_cost, the_wait_depends_on_the_requests_beyond_the_slots) {
  ServerSlot slot = SlotWith(2);
  for (int i = 0; i < 50; ++i) {
    Start(slot, 1);
    slot.state.OnFinished(RequestOutcome::kOk, milliseconds(300),
                          milliseconds(300), 1, kStart);
  }
  Start(slot, 1);
  cr_expect(ExpectedWait(slot, kStart) == Duration::zero());
  Start(slot, 3);
  // Three requests wait for two slots, each of which is freed every 300 ms.
  const Duration wait = ExpectedWait(slot, kStart);
  cr_expect(wait > milliseconds(440) && wait < milliseconds(460), "%.0f ms",
            std::chrono::duration<double, std::milli>(wait).count());
}

Test(server_cost, the_network_path_costs_by_distance_and_answer_size) {
  const double near = DistanceCost(Distance::kSameFailureDomain, 2.0);
  const double region = DistanceCost(Distance::kSameRegion, 2.0);
  const double far = DistanceCost(Distance::kOtherRegion, 2.0);
  cr_expect(near < region && region < far);
  cr_expect(far < DistanceCost(Distance::kOtherRegion, 4.0));
}

Test(server_cost, a_server_that_does_not_answer_costs_more) {
  ServerSlot slot = SlotWith(3);
  Start(slot, 1);
  const Duration expected = milliseconds(300);
  const double at_first = ServerCost(slot, expected, kStart);
  const TimePoint later = kStart + milliseconds(900);
  cr_expect(ServerCost(slot, expected, later) > 2 * at_first);
}

Test(server_cost, an_initial_sender_prefers_a_new_server) {
  ServerSlot slot = SlotWith(3);
  slot.is_initial_sender = true;
  cr_expect(ServerCost(slot, milliseconds(300), kStart) < 0.0);
  Start(slot, 1);
  cr_expect(ServerCost(slot, milliseconds(300), kStart) > 0.0);
}
