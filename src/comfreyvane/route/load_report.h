/// @file
/// Load that a backend server reports.
#ifndef COMFREYVANE_ROUTE_LOAD_REPORT_H_
#define COMFREYVANE_ROUTE_LOAD_REPORT_H_

#include <cstdint>

namespace comfreyvane {

/// Load that a backend server reports. May be outdated or wrong.
struct LoadReport {
  std::uint32_t in_use = 0;  ///< Slots in use over all hosts.
  std::uint32_t queued = 0;  ///< Requests in the queue of the server.
  /// The server is draining and accepts no new requests.
  bool leaving = false;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_LOAD_REPORT_H_
