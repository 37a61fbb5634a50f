/// @file
/// The control thread of a host.
#ifndef COMFREYVANE_HOST_CONTROL_LOOP_H_
#define COMFREYVANE_HOST_CONTROL_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreyvane/host/configuration_driver.h"
#include "comfreyvane/host/control_context.h"
#include "comfreyvane/host/control_handler.h"
#include "comfreyvane/host/limit_driver.h"
#include "comfreyvane/host/membership_driver.h"
#include "comfreyvane/host/operator_desk.h"
#include "comfreyvane/host/route_driver.h"
#include "comfreyvane/host/steering_driver.h"
#include "comfreyvane/net/caller_listener.h"
#include "comfreyvane/net/http_platform.h"
#include "comfreyvane/net/peer_authenticator.h"
#include "comfreyvane/peer/notification_server.h"

namespace comfreyvane {

/// Everything of a host that is not on a request's way: members, configuration,
/// shares, probes, operators. Runs on one thread.
class ControlLoop {
 public:
  /// Secrets read from the files that the settings name.
  struct Secrets {
    std::string peer;
    std::string operators;
  };

  /// Opens the peer port.
  /// @throws boost::system::system_error if it cannot be opened.
  ControlLoop(HostContext& host, Secrets secrets, TimePoint now);

  /// Runs until Quit.
  void Run();

  /// Carry out the stop's steps. Safe to call from any thread.
  void AnnounceLeaving();
  void ReturnLeases();
  void Quit();

  /// Tell all peers of a crash, or that a suspect was answered. Safe to call
  /// from any thread.
  void SendCrashEvidence(CrashEvidence evidence);
  void SendCleared(SuspectCleared cleared);

  /// Carries out what a record of the table service needs. Safe to call from
  /// any thread.
  void CarryOut(ServiceId service, std::vector<StoreRecordAction> actions);

 private:
  void Bind();
  void Tick();
  void OnTick(TimePoint now);
  void OnView(TimePoint now);
  void OnInForce(const std::shared_ptr<const ConfigurationIndex>& index,
                 TimePoint now);
  void CarryOutOne(ServiceId service, const StoreRecordAction& action);
  void CheckReturned(TimePoint now);

  HostContext& host_;
  asio::io_context io_;
  TimeoutSweeper sweeper_;
  PeerAuthenticator authenticator_;
  HttpPlatform platform_;
  PeerDirectory peers_;
  ControlContext context_;
  MembershipDriver members_;
  ConfigurationDriver configurations_;
  LimitDriver limits_;
  RouteDriver routes_;
  SteeringDriver steering_;
  NotificationServer notifications_;
  OperatorDesk operators_;
  ControlHandler handler_;
  CallerListener<ControlHandler> listener_;
  asio::steady_timer timer_;
  TimePoint next_expiry_;
  bool returning_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_CONTROL_LOOP_H_
