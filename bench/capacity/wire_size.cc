#include "wire_size.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <vector>

#include "comfreyvane/net/peer_authenticator.h"
#include "comfreyvane/peer/peer_channel.h"
#include "comfreyvane/peer/peer_stamp.h"
#include "comfreyvane/rpc/notification_batch.h"

namespace comfreyvane::capacity {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;

template <typename Message>
std::string TextOf(const Message& message) {
  std::ostringstream text;
  text << message;
  return text.str();
}

}  // namespace

std::string BatchText(const std::string& method,
                      const Json::Value& message,
                      int count) {
  return NotificationBatch(std::vector<Notification>(
      static_cast<std::size_t>(count), Notification{method, message}));
}

std::string CallText(const std::string& body) {
  const PeerAuthenticator authenticator(std::string(32, 's'));
  const std::string stamp = ToText(PeerStamp{
      HostId::Of("host-1"), Incarnation(0x18'0000'0000'0000),
      HostId::Of("host-2"), Incarnation(0x18'0000'0000'0001), 1'000'000});
  http::request<http::string_body> request(http::verb::post, kPeerPath,
                                           kHttp11);
  request.set(http::field::host, "10.101.102.103");
  request.set(kPeerStampField, stamp);
  request.set(kPeerCodeField, authenticator.Sign(stamp, body));
  request.body() = body;
  request.prepare_payload();
  return TextOf(request);
}

std::string AnswerText() {
  http::response<http::string_body> answer(http::status::no_content, kHttp11);
  answer.prepare_payload();
  return TextOf(answer);
}

std::size_t WireBytes(const std::string& method, const Json::Value& message) {
  return CallText(BatchText(method, message)).size() + AnswerText().size();
}

}  // namespace comfreyvane::capacity
