/// @file
/// Tests which servers may be probed, at which price.
#include "comfreyvane/edge/edge_fixture.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const BackendServerId kServer = BackendServerId::Of("w1");

BackendPicker PickerWithServer() {
  BackendPicker picker = PickerInWest();
  picker.Upsert(EntryOf("w1", "west-a"), kStart);
  return picker;
}

void NameLimit(BackendPicker& picker, double rate, const LimitRank& rank) {
  static_cast<void>(picker.OnNamedLimit(
      kServer, {NamedLimit::State::kNamed, rate}, kStart, kStart));
  picker.SetLimitRank(kServer, rank, kStart);
}

int Probes(BackendPicker& picker, Duration span) {
  int probes = 0;
  for (TimePoint now = kStart; now < kStart + span; now += milliseconds(50))
    probes += picker.TryProbe(kServer, now) ? 1 : 0;
  return probes;
}

}  // namespace

Test(probe_permit, a_server_that_names_a_limit_is_never_probed) {
  for (const std::size_t hosts : {2U, 8U, 60U}) {
    int senders = 0;
    int probes = 0;
    for (std::size_t rank = 0; rank < hosts; ++rank) {
      BackendPicker picker = PickerWithServer();
      NameLimit(picker, 2.0, {.rank = rank, .hosts = hosts});
      const int sent = Probes(picker, seconds(4));
      senders += sent > 0 ? 1 : 0;
      probes += sent;
    }
    cr_expect(senders >= 2, "%zu hosts: %d", hosts, senders);
    // The limit allows 8 in that time, all hosts together.
    cr_expect(probes <= 8, "%zu hosts: %d probes", hosts, probes);
  }
}

Test(probe_permit, a_limit_close_to_zero_is_probed_at_times) {
  for (const std::size_t hosts : {2U, 8U, 60U}) {
    int probes = 0;
    for (std::size_t rank = 0; rank < hosts; ++rank) {
      BackendPicker picker = PickerWithServer();
      NameLimit(picker, 1e-9, {.rank = rank, .hosts = hosts});
      probes += Probes(picker, seconds(61));
    }
    cr_expect(probes >= 1 && probes <= 2, "%zu hosts: %d", hosts, probes);
  }
}

Test(probe_permit, a_server_that_wants_no_requests_gets_one_probe) {
  BackendPicker picker = PickerWithServer();
  picker.OnWait(kServer, seconds(60), kStart);
  cr_expect_eq(Probes(picker, seconds(60)), 1);
}

Test(probe_permit, servers_that_leave_or_are_evacuated_are_not_probed) {
  BackendPicker picker = PickerWithServer();
  picker.SetEvacuated({FailureDomainId::Of("west-a")}, {}, kStart);
  cr_expect_eq(Probes(picker, seconds(5)), 0);
  picker.SetEvacuated({}, {}, kStart);
  cr_expect(Probes(picker, seconds(1)) > 0);
  BackendEntry entry = EntryOf("w1", "west-a");
  entry.draining = true;
  picker.Upsert(entry, kStart);
  cr_expect_eq(Probes(picker, seconds(5)), 0);
  cr_expect(!picker.TryProbe(BackendServerId::Of("unknown"), kStart));
}

Test(probe_permit, a_full_cap_of_connections_does_not_rule_out_probes) {
  BackendPicker picker = PickerWithServer();
  picker.SetMaxConnections({{ServiceId::Of("capture"), 1}});
  const auto choice = picker.Pick(RequestFor(0), kStart);
  cr_assert(choice.has_value());
  cr_assert(picker.OnStarted(*choice, kStart));
  cr_expect(!picker.Pick(RequestFor(0), kStart).has_value());
  cr_expect(picker.TryProbe(kServer, kStart));
}

Test(probe_permit, a_probe_of_a_cold_server_takes_a_token) {
  BackendPicker picker = PickerWithServer();
  BackendEntry entry = EntryOf("w1", "west-a");
  entry.cold_for = seconds(10);
  picker.Upsert(entry, kStart);
  cr_expect_eq(Probes(picker, seconds(5)), 0);
  picker.SetRampUp(kServer, true, 2.0);
  const int probes = Probes(picker, seconds(5));
  cr_expect(probes >= 8 && probes <= 11, "%d", probes);
}
