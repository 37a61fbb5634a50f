/// @file
/// Heartbeats between hosts.
#ifndef COMFREYVANE_GATEWAY_PEER_LINK_H_
#define COMFREYVANE_GATEWAY_PEER_LINK_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreyvane/edge/peer_use.h"
#include "comfreyvane/edge/token_waiters.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/gateway/heartbeat.h"
#include "comfreyvane/net/async.h"

namespace comfreyvane {

/// Sends heartbeats to the other hosts and takes in theirs: who lives, what
/// runs where, which requests break servers, and tokens that move. A datagram
/// is the authentication code of its text, a line feed, and the text.
class PeerLink {
 public:
  /// @param incarnation differs from one run of this host to the next.
  PeerLink(GatewayState& state,
           asio::io_context& io,
           std::uint64_t incarnation);

  void Start();

  /// Sends heartbeats if they are due.
  void OnTick(TimePoint now);
  /// Sends heartbeats at once.
  void SendNow(TimePoint now);

  /// Asks the pool of the failure domain, or other pools if this host is one,
  /// for tokens of a limit that this host is short of.
  /// @return whether some may come shortly: not if they gave none a moment ago.
  [[nodiscard]] bool WantTokens(WorkspaceId workspace, TimePoint now);

 private:
  using Udp = asio::ip::udp;

  /// Largest datagram that is sent or read.
  static constexpr std::size_t kDatagramBytes = 8 * 1024;

  struct Peer {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };

  void Receive();
  void OnDatagram(std::string_view datagram, TimePoint now);
  void OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);
  void TakeTokens(const Heartbeat& heartbeat, TimePoint now);
  void GiveTokens(const Heartbeat& heartbeat, TimePoint now);
  /// Gives what has come to the hosts that were short a moment ago.
  void ServeWaiting(TimePoint now);
  /// Sends tokens to a host.
  void Give(HostId host,
            const std::vector<WorkspaceTokens>& tokens,
            TimePoint now);
  /// Moves tokens that are not in demand to the pool of the failure domain.
  void PoolSpareTokens(TimePoint now);
  /// Sends heartbeats to the other hosts of the region.
  void SendNear(TimePoint now);
  /// Sends heartbeats to hosts of other regions.
  void SendFar(TimePoint now);
  /// @return what this host, if it is a pool, is short of.
  [[nodiscard]] std::vector<WorkspaceTokens> WantedOfOthers(
      TimePoint now) const;
  /// @return a heartbeat that tells nothing of the use of servers.
  [[nodiscard]] Heartbeat Compose(TimePoint now);
  [[nodiscard]] std::string DatagramOf(const Heartbeat& heartbeat) const;
  void SendTo(const FleetHost& host, const std::string& datagram);

  GatewayState& state_;
  GatewayContext& context_;
  Udp::socket socket_;
  Udp::endpoint sender_;
  std::array<char, kDatagramBytes> received_{};
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  TimePoint next_near_{};
  TimePoint next_far_{};
  TimePoint next_transfer_{};
  std::unordered_map<HostId, Peer> peers_;
  PeerUse use_;
  struct Want {
    TimePoint asked{};
    TimePoint received{};
    bool may_come = true;
  };
  void AskPool(WorkspaceId workspace, TimePoint now);
  void AskOtherPools(WorkspaceId workspace, TimePoint now);

  std::map<WorkspaceId, Want> wanted_;
  TokenWaiters waiters_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_PEER_LINK_H_
