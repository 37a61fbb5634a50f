/// @file
/// Carries out the membership core's decisions.
#ifndef COMFREYVANE_HOST_MEMBERSHIP_DRIVER_H_
#define COMFREYVANE_HOST_MEMBERSHIP_DRIVER_H_

#include <json/value.h>

#include <functional>

#include "comfreyvane/host/control_context.h"
#include "comfreyvane/member/member_core.h"

namespace comfreyvane {

/// Runs the membership core on the control thread.
class MembershipDriver {
 public:
  /// What others want to know of the members.
  struct Listener {
    std::function<void(TimePoint)> on_view;     ///< A new view is there.
    std::function<void(TimePoint)> on_resumed;  ///< This host was paused.
  };

  MembershipDriver(ControlContext& context, Listener listener, TimePoint now);

  void OnTick(TimePoint now);
  void OnMessage(HostId from, const Json::Value& message, TimePoint now);

  /// Announces that this host leaves.
  void Leave(TimePoint now);

  [[nodiscard]] MemberViewPtr view() const { return core_.view(); }
  [[nodiscard]] const PeerGraph& graph() const { return core_.graph(); }

 private:
  void Apply(const MemberActions& actions, TimePoint now);
  void PollHostList(TimePoint now);

  ControlContext& context_;
  Listener listener_;
  MemberCore core_;
  MemberViewPtr told_;
  TimePoint next_poll_;
  bool polling_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_MEMBERSHIP_DRIVER_H_
