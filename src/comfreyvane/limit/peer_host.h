/// @file
/// A live peer.
#ifndef COMFREYVANE_LIMIT_PEER_HOST_H_
#define COMFREYVANE_LIMIT_PEER_HOST_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// A peer that is live according to membership.
struct PeerHost {
  HostId host;
  Incarnation incarnation;
  FailureDomainId failure_domain;
  RegionId region;

  friend bool operator==(const PeerHost&, const PeerHost&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_PEER_HOST_H_
