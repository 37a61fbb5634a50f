#include "comfreyvane/metrics/gauge_name.h"

#include <array>
#include <cassert>

namespace comfreyvane {
namespace {

struct GaugeNameRow {
  GaugeName gauge;
  std::string_view name;
  std::string_view help;
};

constexpr std::array<GaugeNameRow, kGaugeNameCount> kRows{{
    {GaugeName::kOpenCallerConnections, "comfreyvane_open_caller_connections",
     "Open connections of callers."},
    {GaugeName::kOpenBackendConnections, "comfreyvane_open_backend_connections",
     "Open connections to backend servers."},
    {GaugeName::kRunningRequests, "comfreyvane_running_requests",
     "Requests at backend servers now."},
    {GaugeName::kQueuedRequests, "comfreyvane_queued_requests",
     "Requests in the queues of workspaces."},
    {GaugeName::kLiveHosts, "comfreyvane_live_hosts",
     "Hosts that this host takes for live."},
    {GaugeName::kConfigurationRevision, "comfreyvane_configuration_revision",
     "Revision in force here."},
    {GaugeName::kConfigurationAgeMs,
     "comfreyvane_configuration_age_milliseconds",
     "Time since the revision was confirmed as newest."},
    {GaugeName::kAvailableBackendServers,
     "comfreyvane_available_backend_servers",
     "Backend servers that may get work from this host."},
    {GaugeName::kLeaving, "comfreyvane_leaving", "1 while the host stops."},
    {GaugeName::kAnswerAgeMs, "comfreyvane_answer_age_milliseconds",
     "Time since a backend server last answered this host."},
}};

const GaugeNameRow& Row(GaugeName gauge) {
  const auto index = static_cast<std::size_t>(gauge);
  assert(index < kRows.size());
  assert(kRows[index].gauge == gauge);
  return kRows[index];
}

}  // namespace

std::string_view Name(GaugeName gauge) {
  return Row(gauge).name;
}

std::string_view Help(GaugeName gauge) {
  return Row(gauge).help;
}

}  // namespace comfreyvane
