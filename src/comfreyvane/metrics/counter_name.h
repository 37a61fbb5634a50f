/// @file
/// Counters other than those of refusals and retries.
#ifndef COMFREYVANE_METRICS_COUNTER_NAME_H_
#define COMFREYVANE_METRICS_COUNTER_NAME_H_

#include <cstddef>
#include <string_view>

namespace comfreyvane {

/// One counter stands for each.
enum class CounterName {
  kRequests,            ///< Requests of callers, refused ones included.
  kAnswers,             ///< Answers of backend servers passed on whole.
  kTruncatedAnswers,    ///< Answers broken off after their head was sent.
  kLookUps,             ///< Steering look-ups answered.
  kBytesFromCallers,    ///< Bytes of request bodies.
  kBytesToCallers,      ///< Bytes of answer bodies.
  kCallerConnections,   ///< Connections accepted from callers.
  kBackendConnections,  ///< Connections opened to backend servers.
  kSilentConnections,   ///< Connections dropped because they went silent.
  kCancelledAttempts,   ///< Attempts cancelled at a backend server.
  kServerCrashes,       ///< Backend servers that broke off while running.
  kTableCalls,          ///< Calls to the table service.
  kTableFailures,       ///< Calls to the table service without a clear answer.
  kPeerCalls,           ///< Calls to peers.
  kPeerFailures,        ///< Calls to peers that failed.
  kBytesToPeers,        ///< Bytes sent to peers.
  kRevisionsApplied,    ///< Configurations that came into force here.
  kSkippedRows,         ///< Rows of the store that cannot be used.
  kStrayAnswers,        ///< Answers that belong to no request here.
  kHeldBackByLimit,     ///< Requests that a server's limit sent elsewhere.
  kLostPaths,           ///< Losses of the path to a group of servers.
  kProbes,              ///< Health checks sent while a path was in doubt.
  kCarriedByPeers,      ///< Requests sent through another host.
  kCarriedForPeers,     ///< Requests of other hosts that were carried.
};

/// Number of counter names.
inline constexpr std::size_t kCounterNameCount =
    static_cast<std::size_t>(CounterName::kCarriedForPeers) + 1;

/// @return the name in the metrics text, such as "comfreyvane_requests_total".
[[nodiscard]] std::string_view Name(CounterName counter);

/// @return the help line in the metrics text.
[[nodiscard]] std::string_view Help(CounterName counter);

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_COUNTER_NAME_H_
