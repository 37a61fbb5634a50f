/// @file
/// Message that reports the requests that ran on a crashed server.
#ifndef COMFREYVANE_ROUTE_CRASH_EVIDENCE_H_
#define COMFREYVANE_ROUTE_CRASH_EVIDENCE_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"

namespace comfreyvane {

/// Message between hosts: a backend server crashed while it ran these requests
/// of the sender.
struct CrashEvidence {
  HostId host;
  Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< Unique within an incarnation.
  BackendServerId server;
  std::vector<RequestId> running{};  ///< Fingerprints, without duplicates.

  friend bool operator==(const CrashEvidence&, const CrashEvidence&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CRASH_EVIDENCE_H_
