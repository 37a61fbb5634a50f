/// @file
/// Carries out the decisions on shares of limits.
#ifndef COMFREYVANE_HOST_LIMIT_DRIVER_H_
#define COMFREYVANE_HOST_LIMIT_DRIVER_H_

#include <json/value.h>

#include <vector>

#include "comfreyvane/host/control_context.h"
#include "comfreyvane/limit/grant_manager.h"
#include "comfreyvane/limit/limit_value.h"
#include "comfreyvane/limit/peer_host.h"

namespace comfreyvane {

/// Runs the share keeper and the loans between hosts on the control thread.
class LimitDriver {
 public:
  LimitDriver(ControlContext& context, TimePoint now);

  void OnTick(TimePoint now);
  void OnMembers(const MemberView& view,
                 const ConfigurationIndex* configuration,
                 TimePoint now);
  void OnConfiguration(const ConfigurationIndex& configuration, TimePoint now);
  void OnLoans(HostId from, const Json::Value& json, TimePoint now);
  void OnGuard(HostId from, const Json::Value& json, TimePoint now);

  /// Gives everything back.
  void Stop(TimePoint now);
  /// @return whether a stopping host has nothing left to give back.
  [[nodiscard]] bool released() const { return grant_manager_.released(); }

  [[nodiscard]] OwnShare own_share(TimePoint now) const {
    return grant_manager_.own_share(now);
  }

 private:
  void Take(const GrantManagerActions& actions, TimePoint now);
  void Send(const std::vector<SendLoanMessage>& messages);
  void Commit(const CommitShares& commit);
  void ReadTable();
  void ShareWithShards(TimePoint now);

  ControlContext& context_;
  GrantManager grant_manager_;
  TimePoint keep_from_;
  TimePoint next_exchange_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_LIMIT_DRIVER_H_
