#include "comfreyvane/edge/server_load.h"

#include "comfreyvane/edge/edge_fixture.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const BackendServerId kServer = BackendServerId::Of("w1");

BackendPicker PickerWithSlots(std::uint32_t slots) {
  BackendPicker picker = PickerInWest();
  picker.Upsert(EntryOf("w1", "west-a", slots), kStart);
  return picker;
}

}  // namespace

Test(server_load, a_server_of_unknown_load_may_be_busy) {
  BackendPicker picker = PickerWithSlots(4);
  cr_expect(picker.LoadOf(kServer, kStart).is_busy);
  picker.OnLoad(kServer, {.in_use = 1}, kStart);
  cr_expect(!picker.LoadOf(kServer, kStart).is_busy);
  cr_expect(!picker.LoadOf(BackendServerId::Of("unknown"), kStart).is_busy);
}

Test(server_load, reports_and_the_use_of_others_make_a_server_busy) {
  BackendPicker picker = PickerWithSlots(4);
  picker.OnLoad(kServer, {.in_use = 2}, kStart);
  cr_expect(picker.LoadOf(kServer, kStart).is_busy);
  const TimePoint later = kStart + seconds(2);
  cr_expect(!picker.LoadOf(kServer, later).is_busy, "the report is old");
  picker.OnPeerUse({{kServer, 3}}, later);
  cr_expect(picker.LoadOf(kServer, later).is_busy);
}

Test(server_load, requests_wait_for_the_queue_of_a_full_server) {
  BackendPicker picker = PickerWithSlots(2);
  const auto choice = picker.Pick(RequestFor(0), kStart);
  cr_assert(choice.has_value());
  cr_assert(picker.OnStarted(*choice, kStart));
  const TimePoint now = kStart + milliseconds(500);
  picker.OnFinished(*choice, RequestFor(0), RequestOutcome::kOk,
                    milliseconds(500), 1, now);
  picker.OnLoad(kServer, {.in_use = 2, .queued = 3}, now);
  const ServerLoad load = picker.LoadOf(kServer, now);
  cr_expect(load.is_busy);
  cr_expect(load.wait > Duration::zero());
  const ExpectedAnswer expected =
      picker.ExpectedAnswerOf(kServer, RequestFor(0), now);
  cr_expect(expected.load == load);
  cr_expect(expected.work > Duration::zero());
}
