/// @file
/// What backend servers and the store of the soak have seen.
#ifndef TESTS_SOAK_RUN_RECORD_H_
#define TESTS_SOAK_RUN_RECORD_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "comfreyvane/base/time.h"
#include "soak/soak_configuration.h"

namespace comfreyvane::soak {

/// A request that a server began to work on.
struct Run {
  TimePoint at{};
  std::string region;

  friend bool operator==(const Run&, const Run&) = default;
};

/// A request that a server got after it had said that it leaves.
struct LateArrival {
  std::string id;
  std::string server;
  TimePoint at{};
  TimePoint left_at{};  ///< When the store accepted that it leaves.

  friend bool operator==(const LateArrival&, const LateArrival&) = default;
};

/// A request that a server with a limit got or answered.
struct LimitedRequest {
  TimePoint at{};
  std::string id;

  friend bool operator==(const LimitedRequest&,
                         const LimitedRequest&) = default;
};

/// A span in which a server had a limit, and the requests that it got.
struct LimitedSpan {
  double limit = 0.0;  ///< In requests/s.
  std::vector<LimitedRequest> arrivals;
  std::vector<LimitedRequest> answers;  ///< That named it, probes' too.

  friend bool operator==(const LimitedSpan&, const LimitedSpan&) = default;
};

/// A configuration that the store has accepted.
struct AcceptedConfiguration {
  TimePoint at{};
  SoakConfiguration configuration;

  friend bool operator==(const AcceptedConfiguration&,
                         const AcceptedConfiguration&) = default;
};

/// What all backend servers have run, what they should never see, and what was
/// configured.
struct RunRecord {
  std::mutex mutex;
  std::map<std::string, std::vector<Run>> runs;  ///< By request identifier.
  std::vector<TimePoint> limited_runs;  ///< Of the workspace with a limit.
  std::vector<LimitedSpan> limited_spans;
  std::vector<LateArrival> late_arrivals;
  /// Requests that servers broke off or answered with bytes that are none.
  std::set<std::string> spoilt;
  std::vector<AcceptedConfiguration> configurations;
  int open_floods = 0;  ///< Endless answers that are still read.
  std::set<std::string> violations;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_RUN_RECORD_H_
