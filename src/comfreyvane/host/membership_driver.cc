#include "comfreyvane/host/membership_driver.h"

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>

#include "comfreyvane/log/log.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/wire/member_codec.h"

namespace comfreyvane {
namespace {

constexpr Duration kHostListPeriod = std::chrono::seconds(2);

MemberSettings SettingsOf(const HostContext& host) {
  MemberSettings settings;
  settings.self = {host.settings.name, host.settings.failure_domain,
                   host.settings.advertised_address, host.settings.caller.port,
                   host.settings.peer.port};
  settings.incarnation = host.incarnation;
  return settings;
}

std::optional<MemberMessage> MessageOf(const Json::Value& json) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<MemberMessage>> {
        BOOST_LEAF_AUTO(message, MemberMessageFromJson(json));
        return std::optional<MemberMessage>(std::move(message));
      },
      [] { return std::optional<MemberMessage>(); });
}

}  // namespace

MembershipDriver::MembershipDriver(ControlContext& context,
                                   Listener listener,
                                   TimePoint now)
    : context_(context),
      listener_(std::move(listener)),
      core_(SettingsOf(context.host), context.host.incarnation.value(), now),
      next_poll_(now) {}

void MembershipDriver::OnTick(TimePoint now) {
  PollHostList(now);
  Apply(core_.OnTick(now), now);
}

void MembershipDriver::OnMessage(HostId from,
                                 const Json::Value& message,
                                 TimePoint now) {
  if (const auto parsed = MessageOf(message))
    Apply(core_.OnMessage(from, *parsed, now), now);
}

void MembershipDriver::Leave(TimePoint now) {
  Apply(core_.Leave(now), now);
}

void MembershipDriver::PollHostList(TimePoint now) {
  if (polling_ || now < next_poll_)
    return;
  polling_ = true;
  next_poll_ = now + kHostListPeriod;
  context_.platform.ReadHosts(
      [this](TableStatus status, const std::vector<HostListing>& hosts) {
        polling_ = false;
        const TimePoint read = MonotonicNow();
        if (status == TableStatus::kDone)
          Apply(core_.OnHostList(hosts, read), read);
      });
}

void MembershipDriver::Apply(const MemberActions& actions, TimePoint now) {
  for (const MemberAction& action : actions) {
    if (const auto* send = std::get_if<SendMemberMessage>(&action)) {
      context_.peers.Send(send->to, peer_method::kMember,
                          ToJson(send->message));
    } else if (const auto* changed = std::get_if<MemberChanged>(&action)) {
      Log(LogLevel::kInfo, "member-changed",
          {{"host", changed->host},
           {"incarnation", changed->incarnation},
           {"state", Name(changed->state)}});
    } else if (const auto* resumed = std::get_if<SelfResumed>(&action)) {
      Log(LogLevel::kWarning, "host-was-paused",
          {{"silent_ms", resumed->silent}});
      listener_.on_resumed(now);
    }
  }
  if (core_.view() == told_)
    return;
  told_ = core_.view();
  listener_.on_view(now);
}

}  // namespace comfreyvane
