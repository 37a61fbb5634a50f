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
  heartbeat.suspects = {{5, 6}};
  heartbeat.wanted = {{WorkspaceId(7), 8.0}};
  heartbeat.given = {{WorkspaceId(9), 0.125}};
  return heartbeat;
}

}  // namespace

Test(fleet_codec, carries_hosts) {
  const FleetHost host{"edge-1",   "west", "west-a", "10.0.0.1:80",
                       "10.0.0.1", 83,     0.5};
  cr_expect(ParseFleetHost(FleetHostText(host)) == host);
}

Test(fleet_codec, carries_heartbeats) {
  cr_expect(ParseHeartbeat(HeartbeatText(FullHeartbeat())) == FullHeartbeat());
  Heartbeat empty;
  empty.host = "edge-2";
  cr_expect(ParseHeartbeat(HeartbeatText(empty)) == empty);
}

Test(fleet_codec, refuses_texts_of_another_form) {
  for (const char* text :
       {"", "{", "[]", "1", "{}", "{\"host\":1}",
        "{\"host\":\"a\",\"incarnation\":-1,\"sequence\":1}",
        "{\"host\":\"a\",\"incarnation\":1,\"sequence\":1.5}",
        "{\"host\":\"a\",\"incarnation\":1,\"sequence\":1,"
        "\"use\":[[1]]}",
        "{\"host\":\"a\",\"incarnation\":1,\"sequence\":1,"
        "\"use\":[[1,5000000000]]}"}) {
    cr_expect(!ParseHeartbeat(text), "%s", text);
    cr_expect(!ParseFleetHost(text), "%s", text);
  }
}

Test(fleet_codec, survives_changed_bytes) {
  const std::string text = HeartbeatText(FullHeartbeat());
  RandomSource random(1);
  for (int i = 0; i < 5000; ++i) {
    std::string changed = text;
    changed[random.Below(changed.size())] =
        static_cast<char>(random.Below(256));
    static_cast<void>(ParseHeartbeat(changed));
  }
}
