/// @file
/// Tests that a server's work ends when its caller has closed the connection.
#include <chrono>
#include <string>
#include <thread>

#include "platform/deployment.h"
#include "platform/eventually.h"
#include "platform/raw_server.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;

namespace {

/// Number of checks at intervals of 10 ms: half a second, far less than the
/// deadline of the requests.
constexpr int kTries = 50;

tcp::endpoint EndpointOf(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

std::string Read(const std::string& id) {
  return "GET /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 1900\r\nAuthorization: Bearer k1\r\n\r\n";
}

/// A server that a script plays, and a caller.
struct Setting {
  explicit Setting(RawServer::Script script) : server(std::move(script)) {
    deployment.OnStandins([this] {
      deployment.store.Delete("servers", "i-1");
      deployment.store.Delete("servers", "i-2");
      deployment.store.Put("servers", "i-3", EntryAt(server.port()));
    });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    client.emplace(EndpointOf(deployment.settings().callers));
  }

  RawServer server;
  Deployment deployment;
  std::optional<RawClient> client;
};

}  // namespace

Test(caller_close, is_not_seen_behind_pipelined_requests, .timeout = 60) {
  Setting setting([](RawServer::Peer& peer, const std::string&) {
    return !peer.ReadHead().empty();
  });
  std::string text = Read("first");
  constexpr std::size_t kPipelinedBytes = 60'000;
  for (int i = 0; text.size() < kPipelinedBytes; ++i)
    text += Read("behind" + std::to_string(i));
  setting.client->Send(text);
  cr_assert(Eventually([&] { return setting.server.requests() > 0; }, kTries));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  setting.client.reset();
  cr_expect(Eventually([&] { return setting.server.ended() > 0; }, kTries));
}

Test(caller_close, is_not_seen_while_a_long_answer_stalls, .timeout = 60) {
  Setting setting([](RawServer::Peer& peer, const std::string& head) {
    constexpr std::size_t kSentBytes = 400'000;
    peer.Write("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Request-Id: " +
               FieldOf(head, "X-Request-Id") +
               "\r\nContent-Length: 500000\r\n\r\n" +
               std::string(kSentBytes, 'a'));
    return !peer.ReadHead().empty();
  });
  setting.client->Send(Read("long"));
  cr_assert(setting.client->ReceiveUntil(std::string(1000, 'a')).size() > 0);
  static_cast<void>(setting.client->DiscardFor(std::chrono::milliseconds(300)));
  setting.client.reset();
  cr_expect(Eventually([&] { return setting.server.ended() > 0; }, kTries));
}
