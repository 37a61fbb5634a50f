#include "comfreyvane/gateway/peer_link.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/gateway/fleet_codec.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/peer_authenticator.h"

namespace comfreyvane {
namespace {

/// Time between heartbeats: three of them within the silence after which a
/// host counts as gone.
constexpr Duration kPeriod = std::chrono::milliseconds(500);

/// Time for which a limit that was short is asked for with each heartbeat.
constexpr Duration kWantMemory = std::chrono::seconds(1);

/// Least time between two questions for tokens of one limit.
constexpr Duration kAskInterval = std::chrono::milliseconds(200);

/// Hosts of other regions that are asked at once, beside those of the region.
constexpr std::size_t kAskedAbroad = 2;

/// Tokens that are asked for at a time.
constexpr std::uint32_t kWantedTokens = 8;

/// Use that a peer told of counts for this long.
constexpr Duration kUseMemory = std::chrono::milliseconds(1500);

}  // namespace

PeerLink::PeerLink(GatewayState& state,
                   asio::io_context& io,
                   std::uint64_t incarnation)
    : state_(state),
      context_(state.context()),
      socket_(io),
      incarnation_(incarnation) {}

void PeerLink::Start() {
  const Endpoint& peers = context_.settings.peers;
  const Udp::endpoint endpoint(asio::ip::make_address(peers.address),
                               peers.port);
  socket_.open(endpoint.protocol());
  socket_.bind(endpoint);
  socket_.non_blocking(true);
  Receive();
}

void PeerLink::Stop() {
  error_code ignored;
  socket_.close(ignored);
}

void PeerLink::Receive() {
  socket_.async_receive_from(
      asio::buffer(received_), sender_,
      [this](const error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted || !socket_.is_open())
          return;
        // Other errors tell of datagrams that did not arrive.
        if (!error)
          OnDatagram({received_.data(), size}, MonotonicNow());
        Receive();
      });
}

void PeerLink::OnDatagram(std::string_view datagram, TimePoint now) {
  const auto end = datagram.find('\n');
  if (end == std::string_view::npos || state_.fleet_secret().empty())
    return;
  const std::string_view text = datagram.substr(end + 1);
  const PeerAuthenticator authenticator(state_.fleet_secret());
  const auto heartbeat = authenticator.Verify("", text, datagram.substr(0, end))
                             ? ParseHeartbeat(text)
                             : std::nullopt;
  if (!heartbeat) {
    context_.metrics.Count(CounterName::kPeerFailures);
    Log(LogLevel::kWarning, "heartbeat-refused",
        {{"address", sender_.address().to_string()}, {"bytes", text.size()}});
    return;
  }
  OnHeartbeat(*heartbeat, now);
}

void PeerLink::OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  const HostId host = HostId::Of(heartbeat.host);
  Peer& peer = peers_[host];
  if (heartbeat.incarnation == peer.incarnation &&
      heartbeat.sequence <= peer.sequence)
    return;
  peer.incarnation = heartbeat.incarnation;
  peer.sequence = heartbeat.sequence;
  peer.heard = now;
  const std::vector<BackendUse> before = std::exchange(peer.use, heartbeat.use);
  context_.fleet.OnHeard(host, heartbeat.leaving, now);
  TakeUse(before, now);
  for (const SuspectReport& suspect : heartbeat.suspects)
    context_.poison.OnPeerReport(suspect.fingerprint, suspect.count,
                                 host.value(), now);
  for (const TokenAmount& amount : heartbeat.given) {
    context_.limiter.Receive(amount.workspace, amount.tokens, now);
    wanted_[amount.workspace].received = now;
  }
  GiveTokens(heartbeat, now);
}

void PeerLink::TakeUse(const std::vector<BackendUse>& before, TimePoint now) {
  std::map<BackendServerId, std::uint32_t> running;
  for (const BackendUse& use : before)
    running[use.server] = 0;
  for (const auto& [host, peer] : peers_) {
    if (now - peer.heard > kUseMemory)
      continue;
    for (const BackendUse& use : peer.use)
      running[use.server] += use.running;
  }
  std::vector<BackendUse> all;
  all.reserve(running.size());
  for (const auto& [server, count] : running)
    all.push_back({server, count});
  context_.backends.OnPeerUse(all, now);
}

void PeerLink::GiveTokens(const Heartbeat& heartbeat, TimePoint now) {
  if (heartbeat.wanted.empty())
    return;
  Heartbeat gift;
  for (const TokenAmount& amount : heartbeat.wanted) {
    const std::uint32_t given =
        context_.limiter.TakeForPeer(amount.workspace, amount.tokens, now);
    if (given > 0)
      gift.given.push_back({amount.workspace, given});
  }
  if (gift.given.empty())
    return;
  for (const FleetHost& host : context_.fleet.Peers()) {
    if (host.name != heartbeat.host)
      continue;
    Heartbeat reply = Compose(now);
    reply.given = gift.given;
    SendTo(host, reply);
  }
}

bool PeerLink::WantTokens(WorkspaceId workspace, TimePoint now) {
  Want& want = wanted_[workspace];
  if (now - want.asked < kAskInterval)
    return want.received >= want.asked;
  const bool gave = want.asked == TimePoint{} || want.received >= want.asked ||
                    now - want.asked > kWantMemory;
  want.asked = now;
  AskNearPeers(workspace, now);
  return gave;
}

void PeerLink::AskNearPeers(WorkspaceId workspace, TimePoint now) {
  if (state_.fleet_secret().empty())
    return;
  Heartbeat heartbeat = Compose(now);
  heartbeat.wanted.push_back({workspace, kWantedTokens});
  const std::vector<FleetHost> peers = context_.fleet.Peers();
  std::size_t abroad = 0;
  for (std::size_t i = 0; i < peers.size(); ++i) {
    const FleetHost& peer = peers[(sequence_ + i) % peers.size()];
    if (peer.region == context_.settings.region || abroad++ < kAskedAbroad)
      SendTo(peer, heartbeat);
  }
}

void PeerLink::OnTick(TimePoint now) {
  if (now >= next_beat_)
    SendNow(now);
}

void PeerLink::SendNow(TimePoint now) {
  next_beat_ = now + kPeriod;
  if (state_.fleet_secret().empty())
    return;
  std::erase_if(wanted_, [now](const auto& row) {
    return now - row.second.asked > kWantMemory;
  });
  Heartbeat heartbeat = Compose(now);
  for (const auto& [workspace, want] : wanted_)
    heartbeat.wanted.push_back({workspace, kWantedTokens});
  for (const FleetHost& host : context_.fleet.Peers())
    SendTo(host, heartbeat);
}

Heartbeat PeerLink::Compose(TimePoint now) {
  Heartbeat heartbeat;
  heartbeat.host = context_.settings.name;
  heartbeat.incarnation = incarnation_;
  heartbeat.sequence = ++sequence_;
  heartbeat.leaving = context_.leaving;
  heartbeat.configuration = context_.table ? context_.table->version() : 0;
  heartbeat.use = context_.backends.Use();
  for (const PoisonGuard::Suspect& suspect : context_.poison.Suspects(now))
    heartbeat.suspects.push_back({suspect.fingerprint, suspect.count});
  return heartbeat;
}

void PeerLink::SendTo(const FleetHost& host, const Heartbeat& heartbeat) {
  const std::string text = HeartbeatText(heartbeat);
  const PeerAuthenticator authenticator(state_.fleet_secret());
  const std::string datagram = authenticator.Sign("", text) + '\n' + text;
  error_code error;
  const auto address = asio::ip::make_address(host.peer_address, error);
  if (error || datagram.size() > kDatagramBytes)
    return;
  socket_.send_to(asio::buffer(datagram), {address, host.peer_port}, 0, error);
  context_.metrics.Count(CounterName::kPeerCalls);
  context_.metrics.Count(CounterName::kBytesToPeers, datagram.size());
  if (error)
    context_.metrics.Count(CounterName::kPeerFailures);
}

}  // namespace comfreyvane
