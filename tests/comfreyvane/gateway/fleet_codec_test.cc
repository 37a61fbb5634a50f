#include "comfreyvane/gateway/fleet_codec.h"

#include <limits>

#include "comfreyvane/base/random_source.h"
#include "support/criterion.h"

using namespace comfreyvane;

namespace {

Heartbeat FullHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.host = "edge-1";
  heartbeat.incarnation = std::numeric_limits<std::uint64_t>::max();
  heartbeat.sequence = 7;
  heartbeat.leaving = true;
  heartbeat.use =
      std::vector<BackendUse>{{BackendServerId(1), 2}, {BackendServerId(3), 4}};
  heartbeat.crash_counts = {{5, 6}};
  heartbeat.requested_tokens = {{WorkspaceId(7), 8.0}};
  heartbeat.granted_tokens = {{WorkspaceId(9), 0.125}};
  heartbeat.leaving_servers = {{BackendServerId::Of("i-2"), 1700000000001}};
  heartbeat.limits = {{BackendServerId::Of("i-1"), 1700000000000, 2.4,
                       std::chrono::milliseconds(350)},
                      {BackendServerId::Of("i-2"), 1, std::nullopt, {}}};
  heartbeat.asked_paths = {PathGroup::All(),
                           PathGroup::Of(ServiceId::Of("capture"))};
  heartbeat.paths = {{PathGroup::Of(FailureDomainId::Of("west-a")),
                      std::chrono::milliseconds(120)}};
  heartbeat.loop_delay = std::chrono::milliseconds(3);
  return heartbeat;
}

}  // namespace

Test(fleet_codec, encodes_and_decodes_hosts) {
  const FleetHost host{"edge-1",   "west", "west-a", "10.0.0.1:80",
                       "10.0.0.1", 83,     0.5};
  cr_expect(ParseFleetHost(EncodeFleetHost(host)) == host);
}

Test(fleet_codec, encodes_and_decodes_heartbeats) {
  cr_expect(ParseHeartbeat(EncodeHeartbeat(FullHeartbeat())) ==
            FullHeartbeat());
  Heartbeat empty;
  empty.host = "edge-2";
  cr_expect(ParseHeartbeat(EncodeHeartbeat(empty)) == empty);
}

Test(fleet_codec, rejects_invalid_texts) {
  for (const char* text :
       {"", "{", "[]", "1", "{}", "{\"host\":1}",
        "{\"host\":\"a\",\"incarnation\":-1,\"sequence\":1}",
        "{\"host\":\"a\",\"incarnation\":1,\"sequence\":1.5}",
        "{\"host\":\"a\",\"incarnation\":1,\"sequence\":1,"
        "\"use\":[[1]]}",
        "{\"host\":\"a\",\"incarnation\":1,\"sequence\":1,"
        "\"use\":[[1,5000000000]]}",
        "{\"host\":\"a\",\"incarnation\":1,\"sequence\":1,"
        "\"limits\":[[1,1,2.4]]}",
        "{\"host\":\"a\",\"incarnation\":1,\"sequence\":1,"
        "\"asked\":[[3,1]]}",
        "{\"host\":\"a\",\"incarnation\":1,\"sequence\":1,"
        "\"paths\":[[0,0,-1]],\"delay_ms\":0}",
        "{\"host\":\"a\",\"incarnation\":1,\"sequence\":1,"
        "\"paths\":[]}"}) {
    cr_expect(!ParseHeartbeat(text), "%s", text);
    cr_expect(!ParseFleetHost(text), "%s", text);
  }
}

Test(fleet_codec, handles_corrupted_heartbeats) {
  const std::string text = EncodeHeartbeat(FullHeartbeat());
  RandomSource random(1);
  for (int i = 0; i < 5000; ++i) {
    std::string changed = text;
    changed[random.Below(changed.size())] =
        static_cast<char>(random.Below(256));
    static_cast<void>(ParseHeartbeat(changed));
  }
}

Test(fleet_codec, reads_and_writes_heartbeats_of_earlier_builds) {
  // As build f57ed58 writes it, and 73f237c but for the paths.
  const std::string text =
      R"({"host":"edge-1","incarnation":5,"sequence":7,"use":[[1,2]],)"
      R"("limits":[[3,1700000000000,2.4E0,350]],"asked":[[0,0]],)"
      R"("paths":[[0,0,120]],"delay_ms":3})";
  const auto heartbeat = ParseHeartbeat(text);
  cr_assert(heartbeat.has_value());
  cr_expect(heartbeat->leaving_servers.empty());
  cr_expect(EncodeHeartbeat(*heartbeat) == text);
  // Earlier builds pass over fields that they do not know.
  const std::string later = text.substr(0, text.size() - 1) + R"(,"later":1})";
  cr_expect(ParseHeartbeat(later) == heartbeat);
}
