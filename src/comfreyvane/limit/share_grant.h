/// @file
/// Grant of a share of every limit to a host.
#ifndef COMFREYVANE_LIMIT_SHARE_GRANT_H_
#define COMFREYVANE_LIMIT_SHARE_GRANT_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// Grant of a share of every limit to one host, under a long lease.
struct ShareGrant {
  GrantId id;
  HostId holder;
  Incarnation incarnation;
  std::int64_t base = 0;         ///< Share units usable without any other host.
  std::int64_t dynamic = 0;      ///< Share units that witnesses must renew.
  std::uint64_t generation = 0;  ///< Incremented by each renewal by the holder.

  friend bool operator==(const ShareGrant&, const ShareGrant&) = default;

  [[nodiscard]] std::int64_t units() const { return base + dynamic; }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_SHARE_GRANT_H_
