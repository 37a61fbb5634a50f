#include "comfreyvane/gateway/peer_link.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/gateway/fleet_codec.h"
#include "comfreyvane/gateway/heartbeat_bound.h"
#include "comfreyvane/gateway/limit_log.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/peer_authenticator.h"

namespace comfreyvane {
namespace {

/// Interval of heartbeats to hosts of the region: three within the timeout
/// after which a host counts as gone.
constexpr Duration kRegionPeriod = std::chrono::milliseconds(500);

/// Interval of heartbeats to hosts of other regions. It grows with their number
/// so that a host sends ten heartbeats per second, up to a third of the timeout
/// after which such a host counts as gone.
constexpr Duration kOtherRegionsPeriodPerHost = std::chrono::milliseconds(100);
constexpr Duration kMaxOtherRegionsPeriod = std::chrono::milliseconds(1500);

/// Number of hosts in other regions up to which heartbeats report the use of
/// all servers. With more hosts, they report only the servers in the receiver's
/// region.
constexpr std::size_t kMaxHostsForFullUse = 10;

/// Time for which each heartbeat repeats a request for tokens.
constexpr Duration kTokenRequestLifetime = std::chrono::seconds(1);

/// Interval of transfers of unused tokens to the pool.
constexpr Duration kTransferPeriod = std::chrono::milliseconds(250);

/// Minimum time between two requests for tokens of a limit, to the pool of the
/// failure domain and to other pools.
constexpr Duration kPoolRequestInterval = std::chrono::milliseconds(20);
constexpr Duration kCrossPoolRequestInterval = std::chrono::milliseconds(200);

/// Maximum number of pools in other regions that get a request, in addition to
/// all pools of the region.
constexpr std::size_t kMaxOtherRegionPools = 2;

/// Tokens per request of a host to its pool, and of a pool to other pools.
constexpr double kTokensPerPoolRequest = 2.0;
constexpr double kTokensPerCrossPoolRequest = 16.0;

/// Maximum number of request limits in a heartbeat. With more, consecutive
/// heartbeats report different ones.
constexpr std::size_t kMaxLimitsPerDatagram = 32;

/// Interval of questions to other hosts while a path is lost or in doubt: four
/// within the lifetime of an answer.
constexpr Duration kPathQuestionPeriod = std::chrono::milliseconds(300);

/// Maximum fraction of its tokens that a pool grants to another pool.
constexpr double kMaxGrantFraction = 0.5;

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
        // Other errors report that a sent datagram was not delivered.
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
  const bool has_restarted = heartbeat.incarnation != peer.incarnation;
  peer.incarnation = heartbeat.incarnation;
  peer.sequence = heartbeat.sequence;
  context_.fleet.OnHeartbeat(host, heartbeat.leaving, now);
  if (heartbeat.use)
    context_.backends.OnPeerUse(use_.Replace(host, *heartbeat.use, now), now);
  context_.poison.OnPeerReport(host.value(), heartbeat.crash_counts, now);
  ReceiveTokens(heartbeat, now);
  GrantTokens(heartbeat, now);
  for (const LimitReport& report : heartbeat.limits)
    OnLimitReport(heartbeat.host, report, now);
  for (const LeavingReport& report : heartbeat.leaving_servers)
    state_.OnServerLeaving(report, heartbeat.host, now);
  if (has_restarted)
    SendNoticesToStartedHost(host, now);
  ExchangePaths(heartbeat, host, now);
}

void PeerLink::ExchangePaths(const Heartbeat& heartbeat,
                             HostId host,
                             TimePoint now) {
  if (heartbeat.leaving)
    context_.carriers.OnLeaving(host);
  const auto sender = context_.fleet.Find(host);
  if (!sender)
    return;
  if (heartbeat.paths && !heartbeat.leaving) {
    context_.paths.OnPeerReport(host, *heartbeat.paths, now);
    context_.carriers.OnReport(
        *sender,
        {heartbeat.incarnation, *heartbeat.paths, heartbeat.loop_delay}, now);
  }
  if (heartbeat.asked_paths.empty())
    return;
  context_.paths.OnAsked(heartbeat.asked_paths, now);
  Heartbeat answer = Compose(now);
  answer.paths = context_.paths.ReportsOn(heartbeat.asked_paths, now);
  answer.loop_delay = context_.loop_delay;
  SendTo(*sender, DatagramOf(std::move(answer), now));
}

void PeerLink::AskForPaths(TimePoint now) {
  if (now < next_path_question_ || state_.fleet_secret().empty())
    return;
  const std::vector<PathGroup> groups = context_.paths.AskedGroups(now);
  if (groups.empty())
    return;
  next_path_question_ = now + kPathQuestionPeriod;
  Heartbeat question = Compose(now);
  question.asked_paths = groups;
  const std::string datagram = DatagramOf(std::move(question), now);
  for (const FleetHost& host : context_.carriers.HostsToAsk(
           context_.fleet.Serving(context_.leaving, now)))
    SendTo(host, datagram);
}

std::optional<std::uint64_t> PeerLink::IncarnationOf(HostId host) const {
  const auto found = peers_.find(host);
  return found == peers_.end() ? std::nullopt
                               : std::optional(found->second.incarnation);
}

void PeerLink::OnLeavingAnswer(const LeavingReport& report, TimePoint now) {
  state_.OnServerLeaving(report, "answer", now);
}

void PeerLink::OnLimitReport(const std::string& host,
                             const LimitReport& report,
                             TimePoint now) {
  const LimitChange change = context_.backends.OnLimitReport(report, now);
  const BackendState* const state = context_.backends.Find(report.server);
  if (state != nullptr)
    LogLimitChange(state->entry().name, change, host);
}

void PeerLink::SendNoticesToStartedHost(HostId host, TimePoint now) {
  const auto receiver = context_.fleet.Find(host);
  const std::string notices = NoticesDatagram(now);
  if (receiver && !notices.empty())
    SendTo(*receiver, notices);
}

void PeerLink::SendLimitNews(TimePoint now) {
  std::map<HostId, std::pair<FleetHost, Heartbeat>> by_reporter;
  for (const LimitReport& news : context_.backends.LimitNews(now)) {
    const BackendState* const state = context_.backends.Find(news.server);
    for (const FleetHost& reporter : context_.fleet.LimitReporters(
             news.server, state->entry().failure_domain)) {
      auto& [host, heartbeat] = by_reporter[reporter.id()];
      host = reporter;
      if (heartbeat.limits.size() < kMaxLimitsPerDatagram)
        heartbeat.limits.push_back(news);
    }
  }
  for (auto& [id, row] : by_reporter) {
    Heartbeat heartbeat = Compose(now);
    heartbeat.limits = std::move(row.second.limits);
    SendTo(row.first, DatagramOf(std::move(heartbeat), now));
  }
}

std::string PeerLink::NoticesDatagram(TimePoint now) {
  std::vector<LimitReport> limits = context_.backends.LimitReports(now);
  std::vector<LeavingReport> leaving = context_.backends.LeavingReports(now);
  if (limits.empty() && leaving.empty())
    return {};
  Heartbeat heartbeat = Compose(now);
  heartbeat.leaving_servers = std::move(leaving);
  if (limits.size() > kMaxLimitsPerDatagram) {
    const auto first = static_cast<std::ptrdiff_t>(
        heartbeat.sequence * kMaxLimitsPerDatagram % limits.size());
    std::rotate(limits.begin(), limits.begin() + first, limits.end());
    limits.resize(kMaxLimitsPerDatagram);
  }
  heartbeat.limits = std::move(limits);
  return DatagramOf(std::move(heartbeat), now);
}

void PeerLink::ReceiveTokens(const Heartbeat& heartbeat, TimePoint now) {
  // Hosts of the failure domain send their unused tokens to the pool.
  const bool is_spare =
      context_.fleet.IsLimitPool(now) &&
      context_.fleet.IsInOwnDomain(HostId::Of(heartbeat.host));
  for (const WorkspaceTokens& amount : heartbeat.granted_tokens) {
    if (is_spare) {
      context_.limiter.ReceiveSpare(amount.workspace, amount.tokens, now);
      continue;
    }
    context_.limiter.Receive(amount.workspace, amount.tokens, now);
    if (const auto request = token_requests_.find(amount.workspace);
        request != token_requests_.end())
      request->second.received_at = now;
  }
  if (!heartbeat.granted_tokens.empty())
    GrantToWaiters(now);
}

void PeerLink::GrantTokens(const Heartbeat& heartbeat, TimePoint now) {
  if (heartbeat.requested_tokens.empty() || !context_.fleet.IsLimitPool(now))
    return;
  const HostId host = HostId::Of(heartbeat.host);
  const bool is_of_domain = context_.fleet.IsInOwnDomain(host);
  std::vector<WorkspaceTokens> granted;
  for (const WorkspaceTokens& requested : heartbeat.requested_tokens) {
    const double tokens = context_.limiter.TakeForPeer(
        requested.workspace, requested.tokens,
        is_of_domain ? 1.0 : kMaxGrantFraction, now);
    if (tokens > 0) {
      granted.push_back({requested.workspace, tokens});
    } else if (is_of_domain) {
      waiters_.Add(host, requested, now);
      static_cast<void>(RequestTokens(requested.workspace, now));
    }
  }
  SendTokens(host, granted, now);
}

void PeerLink::GrantToWaiters(TimePoint now) {
  waiters_.Serve(
      [&](HostId host, const WorkspaceTokens& requested) {
        const double tokens = context_.limiter.TakeForPeer(
            requested.workspace, requested.tokens, 1.0, now);
        if (tokens <= 0)
          return false;
        SendTokens(host, {{requested.workspace, tokens}}, now);
        return true;
      },
      now);
}

void PeerLink::SendTokens(HostId host,
                          const std::vector<WorkspaceTokens>& tokens,
                          TimePoint now) {
  const auto receiver = context_.fleet.Find(host);
  if (tokens.empty() || !receiver)
    return;
  Heartbeat heartbeat = Compose(now);
  heartbeat.granted_tokens = tokens;
  SendTo(*receiver, DatagramOf(std::move(heartbeat), now));
}

void PeerLink::ReturnSpareTokens(TimePoint now) {
  next_transfer_ = now + kTransferPeriod;
  if (state_.fleet_secret().empty())
    return;
  constexpr std::size_t kMaxPerDatagram = 100;
  std::vector<WorkspaceTokens> spare = context_.limiter.TakeSpare(now);
  const HostId pool = context_.fleet.LimitPool(now).id();
  for (std::size_t begin = 0; begin < spare.size(); begin += kMaxPerDatagram) {
    const auto first = spare.begin() + static_cast<std::ptrdiff_t>(begin);
    const auto count = std::min(kMaxPerDatagram, spare.size() - begin);
    SendTokens(pool, {first, first + static_cast<std::ptrdiff_t>(count)}, now);
  }
}

bool PeerLink::RequestTokens(WorkspaceId workspace, TimePoint now) {
  if (state_.fleet_secret().empty())
    return false;
  const bool is_pool = context_.fleet.IsLimitPool(now);
  const Duration interval =
      is_pool ? kCrossPoolRequestInterval : kPoolRequestInterval;
  TokenRequest& request = token_requests_[workspace];
  const bool was_granted = request.received_at >= request.requested_at;
  if (now - request.requested_at < interval)
    return was_granted || request.is_worth_waiting;
  // If the last request was not granted, this one will hardly be either.
  request.is_worth_waiting =
      was_granted || now - request.requested_at > kTokenRequestLifetime;
  request.requested_at = now;
  if (is_pool)
    RequestFromOtherPools(workspace, now);
  else
    RequestFromPool(workspace, now);
  return request.is_worth_waiting;
}

void PeerLink::RequestFromPool(WorkspaceId workspace, TimePoint now) {
  Heartbeat heartbeat = Compose(now);
  heartbeat.requested_tokens.push_back({workspace, kTokensPerPoolRequest});
  SendTo(context_.fleet.LimitPool(now), DatagramOf(std::move(heartbeat), now));
}

void PeerLink::RequestFromOtherPools(WorkspaceId workspace, TimePoint now) {
  Heartbeat heartbeat = Compose(now);
  heartbeat.requested_tokens.push_back({workspace, kTokensPerCrossPoolRequest});
  const std::string datagram = DatagramOf(std::move(heartbeat), now);
  const std::vector<FleetHost> pools = context_.fleet.OtherLimitPools(now);
  std::size_t other_region_pools = 0;
  for (std::size_t i = 0; i < pools.size(); ++i) {
    const FleetHost& pool = pools[(sequence_ + i) % pools.size()];
    if (context_.fleet.IsInOwnRegion(pool) ||
        other_region_pools++ < kMaxOtherRegionPools)
      SendTo(pool, datagram);
  }
}

void PeerLink::OnTick(TimePoint now) {
  context_.backends.OnPeerUse(use_.Expire(now), now);
  AskForPaths(now);
  if (now >= next_transfer_)
    ReturnSpareTokens(now);
  if (now >= next_region_send_)
    SendToRegion(now);
  if (now >= next_other_regions_send_)
    SendToOtherRegions(now);
}

void PeerLink::SendAll(TimePoint now) {
  SendToRegion(now);
  SendToOtherRegions(now);
}

void PeerLink::SendToRegion(TimePoint now) {
  next_region_send_ = now + kRegionPeriod;
  if (state_.fleet_secret().empty())
    return;
  std::erase_if(token_requests_, [now](const auto& row) {
    return now - row.second.requested_at > kTokenRequestLifetime;
  });
  SendLimitNews(now);
  Heartbeat heartbeat = Compose(now);
  heartbeat.use = context_.backends.LocalUse();
  heartbeat.requested_tokens = PendingTokenRequests(now);
  const std::string datagram = DatagramOf(std::move(heartbeat), now);
  const std::string notices = NoticesDatagram(now);
  for (const FleetHost& host : context_.fleet.Peers()) {
    if (!context_.fleet.IsInOwnRegion(host))
      continue;
    SendTo(host, datagram);
    if (!notices.empty())
      SendTo(host, notices);
  }
}

void PeerLink::SendToOtherRegions(TimePoint now) {
  std::vector<FleetHost> hosts = context_.fleet.Peers();
  std::erase_if(hosts, [this](const FleetHost& host) {
    return context_.fleet.IsInOwnRegion(host);
  });
  next_other_regions_send_ =
      now + std::clamp(kOtherRegionsPeriodPerHost *
                           static_cast<Duration::rep>(hosts.size()),
                       kRegionPeriod, kMaxOtherRegionsPeriod);
  if (state_.fleet_secret().empty())
    return;
  const bool sends_full_use = hosts.size() <= kMaxHostsForFullUse;
  const std::string notices = NoticesDatagram(now);
  std::map<std::string, std::string> by_region;
  for (const FleetHost& host : hosts) {
    const auto [datagram, added] = by_region.try_emplace(host.region);
    if (added) {
      Heartbeat heartbeat = Compose(now);
      heartbeat.use =
          sends_full_use
              ? context_.backends.LocalUse()
              : context_.backends.LocalUseIn(RegionId::Of(host.region));
      heartbeat.requested_tokens = PendingTokenRequests(now);
      datagram->second = DatagramOf(std::move(heartbeat), now);
    }
    // Receivers drop datagrams that were composed before the last received.
    if (!notices.empty())
      SendTo(host, notices);
    SendTo(host, datagram->second);
  }
}

std::vector<WorkspaceTokens> PeerLink::PendingTokenRequests(
    TimePoint now) const {
  std::vector<WorkspaceTokens> requests;
  if (!context_.fleet.IsLimitPool(now))
    return requests;
  for (const auto& [workspace, request] : token_requests_)
    requests.push_back({workspace, kTokensPerCrossPoolRequest});
  return requests;
}

Heartbeat PeerLink::Compose(TimePoint now) {
  Heartbeat heartbeat;
  heartbeat.host = context_.settings.name;
  heartbeat.incarnation = incarnation_;
  heartbeat.sequence = ++sequence_;
  heartbeat.leaving = context_.leaving;
  heartbeat.crash_counts = context_.poison.CrashCounts(now);
  return heartbeat;
}

std::string PeerLink::DatagramOf(Heartbeat heartbeat, TimePoint now) {
  std::string text = EncodeHeartbeat(heartbeat);
  if (text.size() > kMaxTextBytes) {
    const std::size_t whole = text.size();
    const std::size_t cut = CutToFit(heartbeat, kMaxTextBytes);
    text = EncodeHeartbeat(heartbeat);
    if (cut_lines_.TryTake(now)) {
      Log(LogLevel::kWarning, "heartbeat-cut",
          {{"rows", cut}, {"whole_bytes", whole}, {"bytes", text.size()}});
    }
  }
  const PeerAuthenticator authenticator(state_.fleet_secret());
  return authenticator.Sign("", text) + '\n' + text;
}

void PeerLink::SendTo(const FleetHost& host, const std::string& datagram) {
  error_code error;
  const auto address = asio::ip::make_address(host.peer_address, error);
  if (error || datagram.size() > kMaxDatagramBytes) {
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
