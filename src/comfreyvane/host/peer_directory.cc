#include "comfreyvane/host/peer_directory.h"

#include <utility>

namespace comfreyvane {

PeerDirectory::PeerDirectory(asio::io_context& io,
                             TimeoutSweeper& sweeper,
                             HostId self,
                             Incarnation incarnation,
                             Duration timeout,
                             const PeerAuthenticator& authenticator)
    : io_(io),
      sweeper_(sweeper),
      self_(self),
      incarnation_(incarnation),
      timeout_(timeout),
      authenticator_(authenticator),
      view_(std::make_shared<const MemberView>()) {}

void PeerDirectory::Update(MemberViewPtr view) {
  view_ = std::move(view);
  std::erase_if(channels_, [this](const auto& entry) {
    return view_->Find(entry.first) == nullptr;
  });
}

PeerDirectory::ChannelPtr PeerDirectory::ChannelTo(HostId host) {
  const Member* const member = view_->Find(host);
  if (member == nullptr)
    return nullptr;
  error_code error;
  const auto address =
      asio::ip::make_address(member->descriptor.address, error);
  if (error)
    return nullptr;
  const tcp::endpoint endpoint(address, member->descriptor.peer_port);
  ChannelPtr& channel = channels_[host];
  if (!channel || channel->endpoint() != endpoint) {
    channel = std::make_shared<PeerChannel>(
        io_, sweeper_, endpoint,
        PeerChannel::Options{self_, incarnation_, host, timeout_},
        authenticator_);
  }
  return channel;
}

void PeerDirectory::Send(HostId to, const char* method, Json::Value message) {
  if (const ChannelPtr channel = ChannelTo(to))
    channel->Send({method, std::move(message)});
}

void PeerDirectory::SendToAll(const char* method, const Json::Value& message) {
  for (const Member& member : view_->members()) {
    const bool listens = member.state == MemberState::kLive ||
                         member.state == MemberState::kLeaving ||
                         member.state == MemberState::kSuspect;
    if (listens && member.id != self_)
      Send(member.id, method, message);
  }
}

std::uint64_t PeerDirectory::bytes_sent() const {
  std::uint64_t total = 0;
  for (const auto& [host, channel] : channels_)
    total += channel->bytes_sent();
  return total;
}

std::uint64_t PeerDirectory::calls() const {
  std::uint64_t total = 0;
  for (const auto& [host, channel] : channels_)
    total += channel->calls();
  return total;
}

std::uint64_t PeerDirectory::failures() const {
  std::uint64_t total = 0;
  for (const auto& [host, channel] : channels_)
    total += channel->failures();
  return total;
}

}  // namespace comfreyvane
