/// @file
/// What the threads of a host share.
#ifndef COMFREYVANE_HOST_HOST_CONTEXT_H_
#define COMFREYVANE_HOST_HOST_CONTEXT_H_

#include <atomic>
#include <string>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/host/active_configuration.h"
#include "comfreyvane/host/crash_desk.h"
#include "comfreyvane/host/decision_log.h"
#include "comfreyvane/host/dispatcher_table.h"
#include "comfreyvane/host/host_records.h"
#include "comfreyvane/host/locked.h"
#include "comfreyvane/host/stop_gate.h"
#include "comfreyvane/host/store_records.h"
#include "comfreyvane/limit/sharded_limits.h"
#include "comfreyvane/metrics/metrics_registry.h"
#include "comfreyvane/settings/host_settings.h"
#include "comfreyvane/spread/configuration_core.h"
#include "comfreyvane/steer/steering_core.h"

namespace comfreyvane {

/// What the threads of a host share. Each member is safe for use by all
/// threads and outlives them.
struct HostContext {
  const HostSettings& settings;
  HostId self;
  Incarnation incarnation;
  MetricsRegistry& metrics;
  ActiveConfiguration& configuration;
  DispatcherTable& dispatchers;
  ShardedLimits& limits;
  HostRecords& host_records;
  StoreRecords& store_records;
  CrashDesk& crashes;
  Locked<ConfigurationCore>& configurations;
  Locked<SteeringCore>& steering;
  DecisionLog& decisions;
  StopGate& stop;

  /// Set when a limit runs short here: shares are to be exchanged soon.
  std::atomic<bool>& exchange_requested;
};

/// @return the limit that stands for a workspace's rate and burst.
[[nodiscard]] inline LimitId WorkspaceLimit(WorkspaceId workspace) {
  return LimitId(workspace.value());
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_HOST_CONTEXT_H_
