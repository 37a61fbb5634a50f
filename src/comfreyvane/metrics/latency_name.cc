#include "comfreyvane/metrics/latency_name.h"

#include <array>
#include <cassert>

namespace comfreyvane {
namespace {

struct LatencyNameRow {
  LatencyName latency;
  std::string_view name;
  std::string_view help;
};

constexpr std::array<LatencyNameRow, kLatencyNameCount> kRows{{
    {LatencyName::kRequest, "comfreyvane_request_seconds",
     "First byte of a request to last byte of its answer."},
    {LatencyName::kAddedByHost, "comfreyvane_added_seconds",
     "Request latency less the time at the backend server."},
    {LatencyName::kQueueWait, "comfreyvane_queue_wait_seconds",
     "Wait in the queue of a workspace."},
    {LatencyName::kBackendAttempt, "comfreyvane_backend_attempt_seconds",
     "One attempt at a backend server."},
    {LatencyName::kBackendConnect, "comfreyvane_backend_connect_seconds",
     "One connection to a backend server."},
    {LatencyName::kLookUp, "comfreyvane_look_up_seconds",
     "One steering look-up."},
    {LatencyName::kTableCall, "comfreyvane_table_call_seconds",
     "One call to the table service."},
    {LatencyName::kPeerCall, "comfreyvane_peer_call_seconds",
     "One call to a peer."},
}};

const LatencyNameRow& Row(LatencyName latency) {
  const auto index = static_cast<std::size_t>(latency);
  assert(index < kRows.size());
  assert(kRows[index].latency == latency);
  return kRows[index];
}

}  // namespace

std::string_view Name(LatencyName latency) {
  return Row(latency).name;
}

std::string_view Help(LatencyName latency) {
  return Row(latency).help;
}

}  // namespace comfreyvane
