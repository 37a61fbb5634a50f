/// @file
/// Messages that spread configurations.
#ifndef COMFREYVANE_SPREAD_SPREAD_MESSAGE_H_
#define COMFREYVANE_SPREAD_SPREAD_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/spread/configuration_delta.h"
#include "comfreyvane/spread/configuration_document.h"

namespace comfreyvane {

/// Names that a confirmation carries, at most.
inline constexpr std::size_t kLaggardsNamed = 8;

/// What a relay says of the hosts of its failure domain.
struct DomainConfirmation {
  FailureDomainId domain;
  Revision lowest;               ///< In force on every live host of it.
  Revision newest;               ///< In force on all of them but the laggards.
  std::vector<HostId> laggards;  ///< At most kLaggardsNamed; the last may stand
                                 ///< for more.

  friend bool operator==(const DomainConfirmation&,
                         const DomainConfirmation&) = default;
};

/// Says which revision the sender holds and which is in force on it.
struct RevisionNotice {
  Incarnation incarnation;  ///< Of the sender.
  Revision held;
  std::uint64_t digest = 0;  ///< Of the held document.
  Revision in_force;
  bool proved = false;         ///< Held is the newest the sender could know.
  std::uint64_t question = 0;  ///< Of a starting host, to be answered.
  std::uint64_t answer = 0;    ///< The question that this answers.
  std::vector<DomainConfirmation> confirmations;  ///< Between relays.

  friend bool operator==(const RevisionNotice&,
                         const RevisionNotice&) = default;
};

/// Asks for the deltas that follow a revision.
struct RevisionRequest {
  Revision held;
  std::uint64_t digest = 0;

  friend bool operator==(const RevisionRequest&,
                         const RevisionRequest&) = default;
};

/// Deltas in their order.
struct DeltaChain {
  std::vector<ConfigurationDelta> deltas;

  friend bool operator==(const DeltaChain&, const DeltaChain&) = default;
};

/// A whole document, for a host whose revision is too old for deltas.
struct FullDocument {
  ConfigurationDocument document;

  friend bool operator==(const FullDocument&, const FullDocument&) = default;
};

/// A message between spread cores. May be lost, repeated or reordered.
using SpreadMessage =
    std::variant<RevisionNotice, RevisionRequest, DeltaChain, FullDocument>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_SPREAD_MESSAGE_H_
