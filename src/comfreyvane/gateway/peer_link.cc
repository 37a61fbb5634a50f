#include "comfreyvane/gateway/peer_link.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/gateway/fleet_codec.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/peer_authenticator.h"

namespace comfreyvane {
namespace {

/// Time between heartbeats to hosts of the region: three of them within the
/// silence after which a host counts as gone.
constexpr Duration kNearPeriod = std::chrono::milliseconds(500);

/// Time between heartbeats to hosts of other regions. It grows with their
/// number so that a host sends ten a second, up to a third of the silence after
/// which such a host counts as gone.
constexpr Duration kFarPeriodOfOne = std::chrono::milliseconds(100);
constexpr Duration kFarPeriod = std::chrono::milliseconds(1500);

/// Number of hosts in other regions up to which they are told of all servers,
/// and not just of those in their region.
constexpr std::size_t kFewFarHosts = 10;

/// Time for which a limit that was short is asked for with each heartbeat.
constexpr Duration kWantMemory = std::chrono::seconds(1);

/// Time between transfers of spare tokens to the pool.
constexpr Duration kTransferPeriod = std::chrono::milliseconds(250);

/// Least time between two questions for tokens of one limit, within a failure
/// domain and beyond it.
constexpr Duration kPoolAskInterval = std::chrono::milliseconds(20);
constexpr Duration kAskInterval = std::chrono::milliseconds(200);

/// Pools of other regions that are asked at once, beside those of the region.
constexpr std::size_t kAskedAbroad = 2;

/// Tokens that a host asks its pool for, and a pool others, at a time.
constexpr double kWantedOfPool = 2.0;
constexpr double kWantedOfOthers = 16.0;

/// Part of its tokens that a pool gives to another at most.
constexpr double kGivenPart = 0.5;

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
  context_.fleet.OnHeartbeat(host, heartbeat.leaving, now);
  if (heartbeat.use)
    context_.backends.OnPeerUse(use_.Replace(host, *heartbeat.use, now), now);
  for (const SuspectReport& suspect : heartbeat.suspects)
    context_.poison.OnPeerReport(suspect.fingerprint, suspect.count,
                                 host.value(), now);
  TakeTokens(heartbeat, now);
  GiveTokens(heartbeat, now);
}

void PeerLink::TakeTokens(const Heartbeat& heartbeat, TimePoint now) {
  // Hosts of the failure domain give their pool what they have no use for.
  const bool spare = context_.fleet.IsLimitPool(now) &&
                     context_.fleet.IsInOwnDomain(HostId::Of(heartbeat.host));
  for (const WorkspaceTokens& amount : heartbeat.given) {
    if (spare) {
      context_.limiter.ReceiveSpare(amount.workspace, amount.tokens, now);
      continue;
    }
    context_.limiter.Receive(amount.workspace, amount.tokens, now);
    if (const auto want = wanted_.find(amount.workspace); want != wanted_.end())
      want->second.received = now;
  }
  if (!heartbeat.given.empty())
    ServeWaiting(now);
}

void PeerLink::GiveTokens(const Heartbeat& heartbeat, TimePoint now) {
  if (heartbeat.wanted.empty() || !context_.fleet.IsLimitPool(now))
    return;
  const HostId host = HostId::Of(heartbeat.host);
  const bool of_domain = context_.fleet.IsInOwnDomain(host);
  std::vector<WorkspaceTokens> given;
  for (const WorkspaceTokens& wanted : heartbeat.wanted) {
    const double tokens = context_.limiter.TakeForPeer(
        wanted.workspace, wanted.tokens, of_domain ? 1.0 : kGivenPart, now);
    if (tokens > 0) {
      given.push_back({wanted.workspace, tokens});
    } else if (of_domain) {
      waiters_.Add(host, wanted, now);
      static_cast<void>(WantTokens(wanted.workspace, now));
    }
  }
  Give(host, given, now);
}

void PeerLink::ServeWaiting(TimePoint now) {
  waiters_.Serve(
      [&](HostId host, const WorkspaceTokens& wanted) {
        const double tokens = context_.limiter.TakeForPeer(
            wanted.workspace, wanted.tokens, 1.0, now);
        if (tokens <= 0)
          return false;
        Give(host, {{wanted.workspace, tokens}}, now);
        return true;
      },
      now);
}

void PeerLink::Give(HostId host,
                    const std::vector<WorkspaceTokens>& tokens,
                    TimePoint now) {
  const auto receiver = context_.fleet.Find(host);
  if (tokens.empty() || !receiver)
    return;
  Heartbeat heartbeat = Compose(now);
  heartbeat.given = tokens;
  SendTo(*receiver, DatagramOf(heartbeat));
}

void PeerLink::PoolSpareTokens(TimePoint now) {
  next_transfer_ = now + kTransferPeriod;
  if (state_.fleet_secret().empty())
    return;
  // One datagram takes so many.
  constexpr std::size_t kMost = 100;
  std::vector<WorkspaceTokens> spare = context_.limiter.TakeSpare(now);
  const HostId pool = context_.fleet.LimitPool(now).id();
  for (std::size_t begin = 0; begin < spare.size(); begin += kMost) {
    const auto first = spare.begin() + static_cast<std::ptrdiff_t>(begin);
    const auto count = std::min(kMost, spare.size() - begin);
    Give(pool, {first, first + static_cast<std::ptrdiff_t>(count)}, now);
  }
}

bool PeerLink::WantTokens(WorkspaceId workspace, TimePoint now) {
  if (state_.fleet_secret().empty())
    return false;
  const bool pools = context_.fleet.IsLimitPool(now);
  const Duration interval = pools ? kAskInterval : kPoolAskInterval;
  Want& want = wanted_[workspace];
  const bool answered = want.received >= want.asked;
  if (now - want.asked < interval)
    return answered || want.may_come;
  // What was not given a moment ago will not be given now.
  want.may_come = answered || now - want.asked > kWantMemory;
  want.asked = now;
  if (pools)
    AskOtherPools(workspace, now);
  else
    AskPool(workspace, now);
  return want.may_come;
}

void PeerLink::AskPool(WorkspaceId workspace, TimePoint now) {
  Heartbeat heartbeat = Compose(now);
  heartbeat.wanted.push_back({workspace, kWantedOfPool});
  SendTo(context_.fleet.LimitPool(now), DatagramOf(heartbeat));
}

void PeerLink::AskOtherPools(WorkspaceId workspace, TimePoint now) {
  Heartbeat heartbeat = Compose(now);
  heartbeat.wanted.push_back({workspace, kWantedOfOthers});
  const std::string datagram = DatagramOf(heartbeat);
  const std::vector<FleetHost> pools = context_.fleet.OtherLimitPools(now);
  std::size_t abroad = 0;
  for (std::size_t i = 0; i < pools.size(); ++i) {
    const FleetHost& pool = pools[(sequence_ + i) % pools.size()];
    if (context_.fleet.IsInOwnRegion(pool) || abroad++ < kAskedAbroad)
      SendTo(pool, datagram);
  }
}

void PeerLink::OnTick(TimePoint now) {
  context_.backends.OnPeerUse(use_.Expire(now), now);
  if (now >= next_transfer_)
    PoolSpareTokens(now);
  if (now >= next_near_)
    SendNear(now);
  if (now >= next_far_)
    SendFar(now);
}

void PeerLink::SendNow(TimePoint now) {
  SendNear(now);
  SendFar(now);
}

void PeerLink::SendNear(TimePoint now) {
  next_near_ = now + kNearPeriod;
  if (state_.fleet_secret().empty())
    return;
  std::erase_if(wanted_, [now](const auto& row) {
    return now - row.second.asked > kWantMemory;
  });
  Heartbeat heartbeat = Compose(now);
  heartbeat.use = context_.backends.LocalUse();
  heartbeat.wanted = WantedOfOthers(now);
  const std::string datagram = DatagramOf(heartbeat);
  for (const FleetHost& host : context_.fleet.Peers()) {
    if (context_.fleet.IsInOwnRegion(host))
      SendTo(host, datagram);
  }
}

void PeerLink::SendFar(TimePoint now) {
  std::vector<FleetHost> hosts = context_.fleet.Peers();
  std::erase_if(hosts, [this](const FleetHost& host) {
    return context_.fleet.IsInOwnRegion(host);
  });
  next_far_ = now + std::clamp(kFarPeriodOfOne *
                                   static_cast<Duration::rep>(hosts.size()),
                               kNearPeriod, kFarPeriod);
  if (state_.fleet_secret().empty())
    return;
  const bool tells_all = hosts.size() <= kFewFarHosts;
  std::map<std::string, std::string> by_region;
  for (const FleetHost& host : hosts) {
    const auto [datagram, added] = by_region.try_emplace(host.region);
    if (added) {
      Heartbeat heartbeat = Compose(now);
      heartbeat.use =
          tells_all ? context_.backends.LocalUse()
                    : context_.backends.LocalUseIn(RegionId::Of(host.region));
      heartbeat.wanted = WantedOfOthers(now);
      datagram->second = DatagramOf(heartbeat);
    }
    SendTo(host, datagram->second);
  }
}

std::vector<WorkspaceTokens> PeerLink::WantedOfOthers(TimePoint now) const {
  std::vector<WorkspaceTokens> wanted;
  if (!context_.fleet.IsLimitPool(now))
    return wanted;
  for (const auto& [workspace, want] : wanted_)
    wanted.push_back({workspace, kWantedOfOthers});
  return wanted;
}

Heartbeat PeerLink::Compose(TimePoint now) {
  Heartbeat heartbeat;
  heartbeat.host = context_.settings.name;
  heartbeat.incarnation = incarnation_;
  heartbeat.sequence = ++sequence_;
  heartbeat.leaving = context_.leaving;
  for (const PoisonRequestTracker::CrashCount& suspect :
       context_.poison.CrashCounts(now))
    heartbeat.suspects.push_back({suspect.fingerprint, suspect.count});
  return heartbeat;
}

std::string PeerLink::DatagramOf(const Heartbeat& heartbeat) const {
  const std::string text = HeartbeatText(heartbeat);
  const PeerAuthenticator authenticator(state_.fleet_secret());
  return authenticator.Sign("", text) + '\n' + text;
}

void PeerLink::SendTo(const FleetHost& host, const std::string& datagram) {
  error_code error;
  const auto address = asio::ip::make_address(host.peer_address, error);
  if (error || datagram.size() > kDatagramBytes) {
    Log(LogLevel::kError, "heartbeat-not-sent",
        {{"host", host.name}, {"bytes", datagram.size()}});
    return;
  }
  socket_.send_to(asio::buffer(datagram), {address, host.peer_port}, 0, error);
  context_.metrics.Count(CounterName::kPeerCalls);
  context_.metrics.Count(CounterName::kBytesToPeers, datagram.size());
  if (error)
    context_.metrics.Count(CounterName::kPeerFailures);
}

}  // namespace comfreyvane
