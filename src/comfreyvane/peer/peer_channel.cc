#include "comfreyvane/peer/peer_channel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <utility>

#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/peer_authenticator.h"
#include "comfreyvane/peer/peer_stamp.h"
#include "comfreyvane/rpc/notification_batch.h"

namespace comfreyvane {
namespace {

/// Notifications that wait for a peer; the oldest are dropped first.
constexpr std::size_t kMostQueued = 1024;

Incarnation IncarnationOf(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return Incarnation(value);
}

}  // namespace

PeerChannel::PeerChannel(asio::io_context& io,
                         TimeoutSweeper& sweeper,
                         const tcp::endpoint& endpoint,
                         const Options& options,
                         const PeerAuthenticator& authenticator)
    : io_(io),
      client_(io, sweeper, endpoint),
      options_(options),
      authenticator_(authenticator) {}

void PeerChannel::Send(Notification notification) {
  if (queue_.size() >= kMostQueued)
    queue_.erase(queue_.begin());
  queue_.push_back(std::move(notification));
  ScheduleFlush();
}

void PeerChannel::ScheduleFlush() {
  if (flushing_)
    return;
  flushing_ = true;
  asio::post(io_, [self = shared_from_this()] {
    asio::co_spawn(self->io_, self->Flush(), asio::detached);
  });
}

HttpCall PeerChannel::Sign(std::string body) {
  const PeerStamp stamp{options_.self, options_.incarnation, options_.peer,
                        peer_incarnation_, ++sequence_};
  std::string text = ToText(stamp);
  std::string code = authenticator_.Sign(text, body);
  return {
      boost::beast::http::verb::post,
      kPeerPath,
      std::move(body),
      {{kPeerStampField, std::move(text)}, {kPeerCodeField, std::move(code)}}};
}

asio::awaitable<void> PeerChannel::Flush() {
  const auto self = shared_from_this();
  while (!queue_.empty()) {
    const std::vector<Notification> batch = std::exchange(queue_, {});
    const std::string body = NotificationBatch(batch);
    const TimePoint deadline = MonotonicNow() + options_.timeout;
    auto result = co_await client_.Call(Sign(body), deadline);
    // A restarted peer names its new incarnation; the batch is signed again.
    if (result.http_status == kWrongTargetStatus) {
      peer_incarnation_ = IncarnationOf(result.body);
      result = co_await client_.Call(Sign(body), deadline);
    }
    ++calls_;
    bytes_sent_ += body.size();
    constexpr unsigned kNoContent = 204;
    if (result.http_status != kNoContent)
      ++failures_;
  }
  flushing_ = false;
}

}  // namespace comfreyvane
