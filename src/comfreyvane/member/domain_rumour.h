/// @file
/// Whether a failure domain reaches another.
#ifndef COMFREYVANE_MEMBER_DOMAIN_RUMOUR_H_
#define COMFREYVANE_MEMBER_DOMAIN_RUMOUR_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// What hosts of one failure domain tell each other of whether theirs reaches
/// another one. A greater version prevails; of the same, unreachable does.
struct DomainRumour {
  FailureDomainId domain;
  std::uint32_t version = 0;
  bool reachable = true;

  friend bool operator==(const DomainRumour&, const DomainRumour&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_DOMAIN_RUMOUR_H_
