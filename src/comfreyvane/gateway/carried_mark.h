/// @file
/// Mark of a request that a host carries for another.
#ifndef COMFREYVANE_GATEWAY_CARRIED_MARK_H_
#define COMFREYVANE_GATEWAY_CARRIED_MARK_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// Mark of a request that the origin, the host of its caller, sends to a
/// carrier since it does not reach the backend servers. Names both, so that it
/// is good for one request of one run of the origin to one run of the carrier.
struct CarriedMark {
  std::string origin;
  std::uint64_t origin_incarnation = 0;
  std::uint64_t sequence = 0;  ///< Unique in a run of the origin; from 1 on.
  std::string carrier;
  std::uint64_t carrier_incarnation = 0;
  std::string region;          ///< Of the origin.
  ServiceId service;           ///< Selected by the origin.
  std::uint32_t attempts = 0;  ///< Made so far, except failed connects.

  friend bool operator==(const CarriedMark&, const CarriedMark&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_CARRIED_MARK_H_
