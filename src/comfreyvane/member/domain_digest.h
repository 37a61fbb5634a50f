/// @file
/// Digest of the members of a failure domain.
#ifndef COMFREYVANE_MEMBER_DOMAIN_DIGEST_H_
#define COMFREYVANE_MEMBER_DOMAIN_DIGEST_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// Digest of what a host knows of the members of a failure domain.
struct DomainDigest {
  FailureDomainId domain;
  std::uint64_t digest = 0;

  friend bool operator==(const DomainDigest&, const DomainDigest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_DOMAIN_DIGEST_H_
