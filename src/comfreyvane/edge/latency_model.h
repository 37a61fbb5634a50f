/// @file
/// How long requests take at backend servers.
#ifndef COMFREYVANE_EDGE_LATENCY_MODEL_H_
#define COMFREYVANE_EDGE_LATENCY_MODEL_H_

#include <cstdint>
#include <unordered_map>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Expected time at a backend server by kind of request, apart for servers
/// that have handled the object of late and those that have not.
class LatencyModel {
 public:
  /// @param kind of request, such as a hash of route and service.
  /// @param first estimate before there is any sample.
  /// @return the expected time at a server of ordinary speed.
  [[nodiscard]] Duration Expected(std::uint64_t kind,
                                  bool warm,
                                  Duration first) const;

  /// Takes in a sample from a server of ordinary speed.
  void Add(std::uint64_t kind, bool warm, Duration sample);

 private:
  struct Estimate {
    double warm_ns = 0.0;  ///< 0: no sample.
    double cold_ns = 0.0;
  };
  std::unordered_map<std::uint64_t, Estimate> estimates_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_LATENCY_MODEL_H_
