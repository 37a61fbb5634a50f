#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "comfreyvane/member/member_message.h"
#include "comfreyvane/net/json_text.h"
#include "comfreyvane/net/peer_authenticator.h"
#include "comfreyvane/peer/peer_channel.h"
#include "comfreyvane/wire/member_codec.h"
#include "measure.h"
#include "slopes.h"
#include "wire_size.h"

namespace comfreyvane::capacity {
namespace {

namespace http = boost::beast::http;

constexpr int kTimes = 5000;

Json::Value Beat() {
  Heartbeat beat;
  beat.incarnation = Incarnation(0x18'0000'0000'0000);
  beat.version = 1;
  beat.digest = ~std::uint64_t{0};
  return ToJson(MemberMessage(beat));
}

void Receive(const std::string& call, const PeerAuthenticator& authenticator) {
  http::request_parser<http::string_body> parser;
  parser.eager(true);
  boost::beast::error_code error;
  parser.put(boost::asio::buffer(call), error);
  const auto& request = parser.get();
  Keep(authenticator.Verify(std::string(request[kPeerStampField]),
                            request.body(),
                            std::string(request[kPeerCodeField])));
  Keep(ParseJson(request.body()).has_value());
}

void MeasureBeats(int beats, ChannelSlopes& slopes) {
  const Json::Value beat = Beat();
  const std::string body = BatchText("member", beat, beats);
  const std::string call = CallText(body);
  const auto size = static_cast<double>(body.size());
  const auto bytes = static_cast<double>(call.size() + AnswerText().size());
  const PeerAuthenticator authenticator(std::string(32, 's'));
  slopes.call_bytes.samples.push_back({size, bytes});
  slopes.batch_bytes.samples.push_back({static_cast<double>(beats), bytes});
  slopes.send_time.samples.push_back(
      {size, Nanoseconds(kTimes, [&](int) {
         Keep(CallText(BatchText("member", beat, beats)).size());
       })});
  slopes.receive_time.samples.push_back(
      {size, Nanoseconds(kTimes, [&](int) { Receive(call, authenticator); })});
}

}  // namespace

ChannelSlopes MeasureChannel() {
  ChannelSlopes slopes{{"channel.send", "ns", "body bytes", {}},
                       {"channel.receive", "ns", "body bytes", {}},
                       {"channel.call", "B", "body bytes", {}},
                       {"channel.batch", "B", "heartbeats", {}}};
  for (const int beats : {1, 2, 4, 8})
    MeasureBeats(beats, slopes);
  return slopes;
}

}  // namespace comfreyvane::capacity
