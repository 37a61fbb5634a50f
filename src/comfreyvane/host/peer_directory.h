/// @file
/// Ways to all peers.
#ifndef COMFREYVANE_HOST_PEER_DIRECTORY_H_
#define COMFREYVANE_HOST_PEER_DIRECTORY_H_

#include <json/value.h>

#include <memory>
#include <string>
#include <unordered_map>

#include "comfreyvane/member/member_view.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/peer_authenticator.h"
#include "comfreyvane/net/timeout_sweeper.h"
#include "comfreyvane/peer/peer_channel.h"

namespace comfreyvane {

/// Methods of the notifications between hosts.
namespace peer_method {
inline constexpr char kMember[] = "member";
inline constexpr char kSpread[] = "spread";
inline constexpr char kFreshness[] = "freshness";
inline constexpr char kApply[] = "apply";
inline constexpr char kApplied[] = "applied";
inline constexpr char kLoans[] = "loans";
inline constexpr char kGuard[] = "guard";
inline constexpr char kUse[] = "use";
inline constexpr char kCrash[] = "crash";
inline constexpr char kCleared[] = "cleared";
inline constexpr char kShift[] = "shift";
inline constexpr char kStop[] = "stop";
}  // namespace peer_method

/// Sends notifications to peers, wherever they are now. Used by the control
/// thread.
class PeerDirectory {
 public:
  PeerDirectory(asio::io_context& io,
                TimeoutSweeper& sweeper,
                HostId self,
                Incarnation incarnation,
                Duration timeout,
                const PeerAuthenticator& authenticator);

  /// Takes over where the members are.
  void Update(MemberViewPtr view);

  /// Sends to a member. Without an address the notification is dropped.
  void Send(HostId to, const char* method, Json::Value message);

  /// Sends to every live or leaving member but this host.
  void SendToAll(const char* method, const Json::Value& message);

  /// Totals since the start.
  [[nodiscard]] std::uint64_t bytes_sent() const;
  [[nodiscard]] std::uint64_t calls() const;
  [[nodiscard]] std::uint64_t failures() const;

 private:
  using ChannelPtr = std::shared_ptr<PeerChannel>;

  [[nodiscard]] ChannelPtr ChannelTo(HostId host);

  asio::io_context& io_;
  TimeoutSweeper& sweeper_;
  HostId self_;
  Incarnation incarnation_;
  Duration timeout_;
  const PeerAuthenticator& authenticator_;
  MemberViewPtr view_;
  std::unordered_map<HostId, ChannelPtr> channels_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_PEER_DIRECTORY_H_
