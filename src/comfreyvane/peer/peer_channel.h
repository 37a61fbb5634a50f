/// @file
/// Way to one peer.
#ifndef COMFREYVANE_PEER_PEER_CHANNEL_H_
#define COMFREYVANE_PEER_PEER_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/net/http_client.h"
#include "comfreyvane/peer/fwd.h"
#include "comfreyvane/rpc/notification.h"

namespace comfreyvane {

/// Fields that carry a peer message's stamp and its code.
inline constexpr const char* kPeerStampField = "X-Comfreyvane-Peer-Stamp";
inline constexpr const char* kPeerCodeField = "X-Comfreyvane-Peer-Code";

/// Path of peer messages.
inline constexpr const char* kPeerPath = "/peer";

/// Status by which a host says that the message was for another run of it; the
/// body holds its incarnation.
inline constexpr unsigned kWrongTargetStatus = 421;

/// Sends notifications to one peer in batches, one batch at a time. What is
/// lost is not repeated: the cores repeat what matters. Used by one thread and
/// held by shared_ptr.
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
 public:
  struct Options {
    HostId self;
    Incarnation incarnation;
    HostId peer;
    Duration timeout;
  };

  PeerChannel(asio::io_context& io,
              TimeoutSweeper& sweeper,
              const tcp::endpoint& endpoint,
              const Options& options,
              const PeerAuthenticator& authenticator);

  /// Queues a notification; it leaves with others at the end of this turn of
  /// the event loop.
  void Send(Notification notification);

  [[nodiscard]] const tcp::endpoint& endpoint() const {
    return client_.server();
  }
  [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }
  [[nodiscard]] std::uint64_t failures() const { return failures_; }

 private:
  void ScheduleFlush();
  [[nodiscard]] asio::awaitable<void> Flush();
  [[nodiscard]] HttpCall Sign(std::string body);

  asio::io_context& io_;
  HttpClient client_;
  Options options_;
  const PeerAuthenticator& authenticator_;
  Incarnation peer_incarnation_;
  std::uint64_t sequence_ = 0;
  std::vector<Notification> queue_;
  bool flushing_ = false;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_PEER_PEER_CHANNEL_H_
