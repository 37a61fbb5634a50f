/// @file
/// A service.
#ifndef COMFREYVANE_CONFIG_SERVICE_H_
#define COMFREYVANE_CONFIG_SERVICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "comfreyvane/config/access_policy.h"
#include "comfreyvane/config/once_policy.h"
#include "comfreyvane/config/site_share.h"

namespace comfreyvane {

/// A service, its route and where its traffic should go.
struct Service {
  std::string name;
  std::string path_prefix;  ///< Requests whose path starts so; longest wins.
  AccessPolicy access = AccessPolicy::kKeyed;
  OncePolicy once = OncePolicy::kHostRecord;
  std::uint32_t deadline_ms = 0;  ///< For callers that give none, and most.
  std::uint32_t shift_cap = 0;    ///< Most a site may gain above its share
                                  ///< now, in parts of kWholeShare.
  std::vector<SiteShare> shares;  ///< Add up to kWholeShare.

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_SERVICE_H_
