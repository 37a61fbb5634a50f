/// @file
/// Request for what a peer knows differently.
#ifndef COMFREYVANE_MEMBER_SYNC_REQUEST_H_
#define COMFREYVANE_MEMBER_SYNC_REQUEST_H_

#include <vector>

#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/member/domain_digest.h"

namespace comfreyvane {

/// Asks a peer for its members of the domains whose digests differ.
struct SyncRequest {
  Incarnation incarnation;  ///< Of the sender.
  std::vector<DomainDigest> digests;

  friend bool operator==(const SyncRequest&, const SyncRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_SYNC_REQUEST_H_
