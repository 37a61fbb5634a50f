#include "comfreyvane/gateway/peer_link.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>

#include "comfreyvane/gateway/fleet_codec.h"
#include "comfreyvane/net/timeout_sweeper.h"
#include "support/criterion.h"
#include "support/free_port.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

/// Largest datagram that hosts receive.
constexpr std::size_t kMaxBytes = 8 * 1024;

GatewaySettings Settings() {
  GatewaySettings settings;
  settings.name = "edge-1";
  settings.failure_domain = "west-a";
  settings.region = "west";
  settings.peers = {"127.0.0.1", testing::FreePort()};
  return settings;
}

/// A host that sends heartbeats to one other.
struct Host {
  Host() {
    state.SetFleetSecret("secret");
    const auto port = socket.local_endpoint().port();
    state.SetHosts(
        {{"edge-2", "west", "west-a", "127.0.0.1:1", "127.0.0.1", port, 1.0}},
        kStart);
    socket.non_blocking(true);
    link.Start();
  }

  /// @return the next datagram; empty: none.
  std::string Receive() {
    std::array<char, 65536> bytes;
    error_code error;
    const std::size_t size = socket.receive(asio::buffer(bytes), 0, error);
    return error ? std::string() : std::string(bytes.data(), size);
  }

  asio::io_context io{1};
  asio::ip::udp::socket socket{io, {asio::ip::address_v4::loopback(), 0}};
  GatewaySettings settings = Settings();
  GatewayContext context{
      settings,
      {},
      [](const boost::beast::http::response_header<>&) {
        return ServerNotice{};
      },
      {},
      nullptr,
      BackendPicker({FailureDomainId::Of("west-a"), RegionId::Of("west")},
                    {},
                    1.0),
      FleetView({"edge-1", "west", "west-a", "127.0.0.1:1", "127.0.0.1",
                 settings.peers.port, 0.5}),
      WorkspaceLimiter(settings.limits),
      1,
      CarrierPicker({"edge-1", "west", "west-a", "127.0.0.1:1", "127.0.0.1",
                     settings.peers.port, 0.5}),
      ConfigurationFreshness(settings.max_configuration_age)};
  TimeoutSweeper sweeper{io};
  GatewayDispatcher dispatcher{context, io};
  BackendClient client{context, io, sweeper};
  GatewayState state{context, dispatcher, client};
  PeerLink link{state, io, 1};
};

}  // namespace

Test(peer_link, no_heartbeat_is_sent_with_many_records_of_crashes) {
  Host host;
  constexpr std::uint64_t kRecords = 400;
  constexpr std::uint64_t kFirst = std::uint64_t{1} << 63U;
  TimePoint now = kStart;
  const auto crash = [&](std::uint64_t fingerprint) {
    now += milliseconds(50);
    host.context.poison.OnServerCrash(fingerprint, BackendServerId(1),
                                      now - milliseconds(5), now);
  };
  for (std::uint64_t i = 0; i < kRecords; ++i)
    crash(kFirst + i);
  crash(kFirst + kRecords / 2);
  now += seconds(1);
  host.link.SendAll(now);
  const std::string datagram = host.Receive();
  cr_assert(!datagram.empty());
  cr_expect(datagram.size() <= kMaxBytes, "%zu bytes", datagram.size());
  const auto heartbeat =
      ParseHeartbeat(datagram.substr(datagram.find('\n') + 1));
  cr_assert(heartbeat.has_value());
  cr_expect(heartbeat->use.has_value());
  cr_expect(heartbeat->crash_counts.size() > 100);
  cr_expect(heartbeat->crash_counts.front() ==
            (CrashCount{kFirst + kRecords / 2, 2}));
}
