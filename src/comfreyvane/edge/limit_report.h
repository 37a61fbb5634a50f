/// @file
/// What one host tells others about a server's request limit.
#ifndef COMFREYVANE_EDGE_LIMIT_REPORT_H_
#define COMFREYVANE_EDGE_LIMIT_REPORT_H_

#include <cstdint>
#include <optional>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// What one host tells others about a backend server's request limit.
struct LimitReport {
  BackendServerId server{};
  /// Unix time of the server's start, milliseconds. The limit ends with it.
  std::int64_t started_ms = 0;
  /// Requests/s over all hosts; nothing if the server no longer has a limit.
  std::optional<double> rate{};
  Duration age{};  ///< Time since the answer that says so.

  friend bool operator==(const LimitReport&, const LimitReport&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_LIMIT_REPORT_H_
