/// @file
/// Estimates of request latency at backend servers.
#ifndef COMFREYVANE_EDGE_LATENCY_MODEL_H_
#define COMFREYVANE_EDGE_LATENCY_MODEL_H_

#include <cstdint>
#include <unordered_map>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Expected latency at a backend server by kind of request, with separate
/// estimates for servers that hold the object warm and those that do not.
class LatencyModel {
 public:
  /// @param kind of request, such as a hash of route and service.
  /// @param first cold estimate before there is a sample.
  /// @return the expected latency at a server of average speed.
  [[nodiscard]] Duration Expected(std::uint64_t kind,
                                  bool warm,
                                  Duration first) const;

  /// Adds a sample, normalised to a server of average speed.
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
