/// @file
/// Heartbeats between hosts.
#ifndef COMFREYVANE_GATEWAY_PEER_LINK_H_
#define COMFREYVANE_GATEWAY_PEER_LINK_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreyvane/edge/peer_use.h"
#include "comfreyvane/edge/token_waiters.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/gateway/heartbeat.h"
#include "comfreyvane/log/line_budget.h"
#include "comfreyvane/net/async.h"

namespace comfreyvane {

/// Exchanges heartbeats with the other hosts. They report liveness, running
/// requests per server and requests that crash servers, and transfer tokens of
/// limits. A datagram is the authentication code of its text, a line feed, and
/// the text.
class PeerLink {
 public:
  /// @param incarnation differs between runs of this host.
  PeerLink(GatewayState& state,
           asio::io_context& io,
           std::uint64_t incarnation);

  /// Opens the socket and starts to receive heartbeats.
  /// @throws boost::system::system_error if the port cannot be opened.
  void Start();

  /// Sends heartbeats and transfers tokens when due. Must be called
  /// periodically.
  void OnTick(TimePoint now);
  /// Sends heartbeats to all hosts immediately.
  void SendAll(TimePoint now);

  /// @return the run of a host by its last heartbeat; nothing if none has been
  ///     received.
  [[nodiscard]] std::optional<std::uint64_t> IncarnationOf(HostId host) const;

  /// Records that a server has said in an answer to this host that it leaves.
  void OnLeavingAnswer(const LeavingReport& report, TimePoint now);

  /// Requests tokens of a limit from the pool of the failure domain or, if this
  /// host is the pool, from other pools. Requests are rate limited.
  /// @return whether tokens may arrive shortly. False if recent requests were
  ///     not granted.
  [[nodiscard]] bool RequestTokens(WorkspaceId workspace, TimePoint now);

 private:
  using Udp = asio::ip::udp;

  static constexpr std::size_t kMaxDatagramBytes = 8 * 1024;
  /// The rest is for the authentication code.
  static constexpr std::size_t kMaxTextBytes = kMaxDatagramBytes - 128;

  struct Peer {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };

  void Receive();
  void OnDatagram(std::string_view datagram, TimePoint now);
  void OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);
  void ReceiveTokens(const Heartbeat& heartbeat, TimePoint now);
  /// Grants the tokens that a heartbeat requests, if this host is a pool.
  void GrantTokens(const Heartbeat& heartbeat, TimePoint now);
  /// Grants available tokens to the hosts with pending requests.
  void GrantToWaiters(TimePoint now);
  /// Sends granted tokens to a host.
  void SendTokens(HostId host,
                  const std::vector<WorkspaceTokens>& tokens,
                  TimePoint now);
  /// Transfers unused tokens to the pool of the failure domain.
  void ReturnSpareTokens(TimePoint now);
  /// Records a request limit that another host reports, and logs a change.
  void OnLimitReport(const std::string& host,
                     const LimitReport& report,
                     TimePoint now);
  /// Reports limits and servers that leave to a host that has just started and
  /// knows none.
  void SendNoticesToStartedHost(HostId host, TimePoint now);
  /// Tells the hosts that report a server's limit to all others what an answer
  /// to this host has just changed.
  void SendLimitNews(TimePoint now);
  /// @return the limits and leaving servers that this host reports, in a
  ///     datagram of their own; empty if there are none. With many limits, each
  ///     call takes other ones.
  [[nodiscard]] std::string NoticesDatagram(TimePoint now);
  /// Sends heartbeats to the other hosts of the region.
  void SendToRegion(TimePoint now);
  /// Sends heartbeats to hosts of other regions.
  void SendToOtherRegions(TimePoint now);
  /// @return the tokens that this host lacks if it is a pool; else nothing.
  [[nodiscard]] std::vector<WorkspaceTokens> PendingTokenRequests(
      TimePoint now) const;
  /// @return a heartbeat without the use of servers and without tokens.
  [[nodiscard]] Heartbeat Compose(TimePoint now);
  /// @return a datagram of the heartbeat, or of what fits into one.
  [[nodiscard]] std::string DatagramOf(Heartbeat heartbeat, TimePoint now);
  void SendTo(const FleetHost& host, const std::string& datagram);
  /// Asks other hosts what they reach, if this host doubts its own path.
  void AskForPaths(TimePoint now);
  /// Records what another host reaches, or answers its question.
  void ExchangePaths(const Heartbeat& heartbeat, HostId host, TimePoint now);

  GatewayState& state_;
  GatewayContext& context_;
  Udp::socket socket_;
  Udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> received_{};
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  TimePoint next_region_send_{};
  TimePoint next_other_regions_send_{};
  TimePoint next_transfer_{};
  TimePoint next_path_question_{};
  std::unordered_map<HostId, Peer> peers_;
  PeerUse use_;
  /// The last request for tokens of a limit.
  struct TokenRequest {
    TimePoint requested_at{};
    TimePoint received_at{};
    /// Whether a caller should wait for the tokens.
    bool is_worth_waiting = true;
  };
  void RequestFromPool(WorkspaceId workspace, TimePoint now);
  void RequestFromOtherPools(WorkspaceId workspace, TimePoint now);

  std::map<WorkspaceId, TokenRequest> token_requests_;
  TokenWaiters waiters_;
  LineBudget cut_lines_{1.0};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_PEER_LINK_H_
