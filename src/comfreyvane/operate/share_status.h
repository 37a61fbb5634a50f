/// @file
/// State of a service's share at a site.
#ifndef COMFREYVANE_OPERATE_SHARE_STATUS_H_
#define COMFREYVANE_OPERATE_SHARE_STATUS_H_

#include <cstdint>
#include <string>

namespace comfreyvane {

/// Where a service's traffic goes now at one site, and where it should go.
struct ShareStatus {
  std::string service;
  std::string site;
  std::uint32_t declared = 0;  ///< Parts of kWholeShare.
  std::uint32_t steered = 0;   ///< Parts of kWholeShare given to new answers.
  std::string pause;           ///< Why the shift stands still; empty: it moves.

  friend bool operator==(const ShareStatus&, const ShareStatus&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_SHARE_STATUS_H_
