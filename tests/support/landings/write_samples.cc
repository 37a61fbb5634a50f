/// @file
/// Prints messages between hosts as the build that it is compiled in writes
/// them, for tests of later builds.
#include <boost/beast/http/message.hpp>
#include <cstdio>
#include <string>

#include "comfreyvane/gateway/carried_codec.h"
#include "comfreyvane/gateway/fleet_codec.h"
#include "comfreyvane/gateway/relay_codec.h"

namespace {

using namespace comfreyvane;
namespace http = boost::beast::http;

void Print(const char* kind, const std::string& text) {
  std::printf("%s %s\n", kind, text.c_str());
}

/// @tparam Message of which earlier builds have fewer fields.
template <typename Message>
Message FullHeartbeat() {
  Message heartbeat;
  heartbeat.host = "edge-1";
  heartbeat.incarnation = 5;
  heartbeat.sequence = 7;
  heartbeat.leaving = true;
  heartbeat.use = std::vector<BackendUse>{{BackendServerId(1), 2}};
  heartbeat.crash_counts = {{5, 6}};
  heartbeat.requested_tokens = {{WorkspaceId(7), 8.0}};
  heartbeat.granted_tokens = {{WorkspaceId(9), 0.125}};
  heartbeat.limits = {
      {BackendServerId(3), 1700000000000, 2.4, std::chrono::milliseconds(350)}};
  heartbeat.asked_paths = {PathGroup::All()};
  heartbeat.paths = {{PathGroup::All(), std::chrono::milliseconds(120)}};
  heartbeat.loop_delay = std::chrono::milliseconds(3);
  if constexpr (requires { heartbeat.leaving_servers; })
    heartbeat.leaving_servers = {{BackendServerId(4), 1700000000001}};
  return heartbeat;
}

RelayAnswer FullAnswer() {
  RelayAnswer answer;
  answer.status = RelayStatus::kDone;
  for (std::size_t i = 0; i < kStoreTables; ++i) {
    answer.feeds[i].status = TableStatus::kDone;
    answer.feeds[i].position = Revision(40 + i);
  }
  answer.feeds[1].rows = {{"server-1", "{}", Revision(41)},
                          {"gone", "", Revision()}};
  return answer;
}

}  // namespace

int main() {
  Print("heartbeat", EncodeHeartbeat(FullHeartbeat<Heartbeat>()));
  Print("host", EncodeFleetHost({"edge-1", "west", "west-a", "10.0.0.1:80",
                                 "10.0.0.1", 83, 0.5}));
  Print("relay-call",
        EncodeRelayCall({7,
                         3,
                         std::chrono::milliseconds(900),
                         {Revision(1), Revision(2), Revision(3)}}));
  Print("relay-answer", EncodeRelayAnswer(FullAnswer()));
  const std::string mark = EncodeCarriedMark(
      {"edge-1", 11, 7, "edge-2", 22, "west", ServiceId::Of("capture"), 1});
  Print("mark", mark);
  http::request_header<> head;
  head.version(11);
  head.method(http::verb::post);
  head.target("/a?b=c");
  head.set(http::field::host, "h");
  head.set("X-Request-Id", "r1");
  head.set(kCarriedMarkField, mark);
  Print("mark-code", CarriedCodeOf(head, "body", "secret"));
  Print("verdict",
        EncodeCarriedVerdict({RunState::kNotRun, RefusalReason::kQueueFull, 2,
                              std::chrono::milliseconds(150)}));
  return 0;
}
