#include "comfreyvane/metrics/counter_name.h"

#include <array>
#include <cassert>

namespace comfreyvane {
namespace {

struct CounterNameRow {
  CounterName counter;
  std::string_view name;
  std::string_view help;
};

constexpr std::array<CounterNameRow, kCounterNameCount> kRows{{
    {CounterName::kRequests, "comfreyvane_requests_total",
     "Requests of callers, refused ones included."},
    {CounterName::kAnswers, "comfreyvane_answers_total",
     "Answers of backend servers passed on whole."},
    {CounterName::kTruncatedAnswers, "comfreyvane_truncated_answers_total",
     "Answers broken off after their head was sent."},
    {CounterName::kLookUps, "comfreyvane_look_ups_total",
     "Steering look-ups answered."},
    {CounterName::kBytesFromCallers, "comfreyvane_bytes_from_callers_total",
     "Bytes of request bodies."},
    {CounterName::kBytesToCallers, "comfreyvane_bytes_to_callers_total",
     "Bytes of answer bodies."},
    {CounterName::kCallerConnections, "comfreyvane_caller_connections_total",
     "Connections accepted from callers."},
    {CounterName::kBackendConnections, "comfreyvane_backend_connections_total",
     "Connections opened to backend servers."},
    {CounterName::kSilentConnections, "comfreyvane_silent_connections_total",
     "Connections dropped because they went silent."},
    {CounterName::kCancelledAttempts, "comfreyvane_cancelled_attempts_total",
     "Attempts cancelled at a backend server."},
    {CounterName::kServerCrashes, "comfreyvane_server_crashes_total",
     "Backend servers that broke off while running."},
    {CounterName::kTableCalls, "comfreyvane_table_calls_total",
     "Calls to the table service."},
    {CounterName::kTableFailures, "comfreyvane_table_failures_total",
     "Calls to the table service without a clear answer."},
    {CounterName::kPeerCalls, "comfreyvane_peer_calls_total",
     "Calls to peers."},
    {CounterName::kPeerFailures, "comfreyvane_peer_failures_total",
     "Calls to peers that failed."},
    {CounterName::kBytesToPeers, "comfreyvane_bytes_to_peers_total",
     "Bytes sent to peers."},
    {CounterName::kRevisionsApplied, "comfreyvane_revisions_applied_total",
     "Configurations that came into force here."},
    {CounterName::kSkippedRows, "comfreyvane_skipped_rows_total",
     "Rows of the store that cannot be used."},
    {CounterName::kStrayAnswers, "comfreyvane_stray_answers_total",
     "Answers of backend servers that belong to no request."},
    {CounterName::kHeldBackByLimit, "comfreyvane_held_back_by_limit_total",
     "Requests that a server's request limit sent elsewhere."},
    {CounterName::kLostPaths, "comfreyvane_lost_paths_total",
     "Losses of the path to a group of backend servers."},
    {CounterName::kProbes, "comfreyvane_probes_total",
     "Health checks sent to backend servers while a path was in doubt."},
    {CounterName::kCarriedByPeers, "comfreyvane_carried_by_peers_total",
     "Requests sent to backend servers through another host."},
    {CounterName::kCarriedForPeers, "comfreyvane_carried_for_peers_total",
     "Requests of other hosts that this host has carried."},
}};

const CounterNameRow& Row(CounterName counter) {
  const auto index = static_cast<std::size_t>(counter);
  assert(index < kRows.size());
  assert(kRows[index].counter == counter);
  return kRows[index];
}

}  // namespace

std::string_view Name(CounterName counter) {
  return Row(counter).name;
}

std::string_view Help(CounterName counter) {
  return Row(counter).help;
}

}  // namespace comfreyvane
