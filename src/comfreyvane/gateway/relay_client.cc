#include "comfreyvane/gateway/relay_client.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "comfreyvane/gateway/relay_codec.h"
#include "comfreyvane/gateway/relay_header.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/peer_authenticator.h"

namespace comfreyvane {
namespace {

/// Time for an answer beyond its wait: many round trips within a failure
/// domain.
constexpr Duration kMargin = std::chrono::milliseconds(300);

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kServiceUnavailable = 503;

}  // namespace

asio::awaitable<RelayAnswer> RelayClient::RequestChanges(
    FleetHost host,
    RelayCall call,
    std::function<void()> on_progress) {
  HttpClient* const client = GetClient(host);
  if (client == nullptr)
    co_return RelayAnswer{};
  call.nonce = ++nonce_;
  const PeerAuthenticator authenticator(state_.fleet_secret());
  HttpCall request;
  request.target = EncodeRelayCall(call);
  const std::string target = request.target;
  request.fields = {
      {std::string(kRelayAuthHeader),
       authenticator.Sign(kRelayCallStamp, target)},
      {std::string(kRelayEncodingHeader), std::string(kRelayDeflate)}};
  request.wanted_field = kRelayEncodingHeader;
  const HttpCallResult result = co_await client->CallForLarge(
      std::move(request), MonotonicNow() + call.wait + kMargin,
      std::move(on_progress));
  if (result.status != HttpCallStatus::kAnswered)
    co_return RelayAnswer{};
  // The first line of the body is the authentication code.
  const std::string_view body(result.body);
  const auto end = std::min(body.find('\n'), body.size());
  const std::string_view text = body.substr(std::min(end + 1, body.size()));
  const bool is_authentic =
      authenticator.Verify(target, text, body.substr(0, end));
  // Earlier builds refuse without a body.
  const std::uint64_t era = is_authentic ? ParseRelayEra(text) : 0;
  if (result.http_status == kServiceUnavailable)
    co_return RelayAnswer{RelayStatus::kNotFresh, era, {}};
  if (result.http_status == kGone)
    co_return RelayAnswer{RelayStatus::kHistoryLost, era, {}};
  if (result.http_status == kOk && is_authentic) {
    auto answer = result.wanted_field == kRelayDeflate
                      ? ParseCompressedAnswer(text)
                      : ParseRelayAnswer(text);
    if (answer)
      co_return std::move(*answer);
  }
  Log(LogLevel::kWarning, "relay-answer-unreadable",
      {{"host", host.name},
       {"status", result.http_status},
       {"bytes", result.body.size()}});
  co_return RelayAnswer{};
}

HttpClient* RelayClient::GetClient(const FleetHost& host) {
  auto& client = clients_[host.id()];
  error_code error;
  const auto address = asio::ip::make_address(host.peer_address, error);
  const tcp::endpoint endpoint(address, host.peer_port);
  if (error)
    return nullptr;
  if (!client || client->server() != endpoint)
    client = std::make_unique<HttpClient>(io_, sweeper_, endpoint);
  return client.get();
}

}  // namespace comfreyvane
