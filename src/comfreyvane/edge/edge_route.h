/// @file
/// Route configuration of the edge.
#ifndef COMFREYVANE_EDGE_EDGE_ROUTE_H_
#define COMFREYVANE_EDGE_EDGE_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/service_share.h"

namespace comfreyvane {

/// Configuration of the requests with one host name and path prefix.
struct EdgeRoute {
  std::string name;
  std::string host;    ///< Value of the Host field.
  std::string prefix;  ///< Begins and ends with a slash.
  std::vector<ServiceShare> services;
  bool idempotent = false;  ///< May run more than once.
  bool open = false;        ///< Requests need no key.
  bool sticky = false;  ///< Backend servers cache objects of earlier requests.
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;
  Duration timeout{};
  Duration objective{};  ///< Target latency: later answers are worth less.
  /// Regions where it may be served; empty: all.
  std::vector<RegionId> regions;

  friend bool operator==(const EdgeRoute&, const EdgeRoute&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_EDGE_ROUTE_H_
