/// @file
/// Messages that prove a revision to be the newest.
#ifndef COMFREYVANE_SPREAD_FRESHNESS_MESSAGE_H_
#define COMFREYVANE_SPREAD_FRESHNESS_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "comfreyvane/spread/acceptor_statement.h"
#include "comfreyvane/spread/store_evidence.h"

namespace comfreyvane {

/// Asks a relay or an acceptor for its evidence.
struct FreshnessQuestion {
  std::uint64_t number = 0;  ///< Unique to the question; the answer repeats it.
  std::uint64_t epoch = 0;   ///< Of the set of acceptors that the asker knows.

  friend bool operator==(const FreshnessQuestion&,
                         const FreshnessQuestion&) = default;
};

/// Answers a question with all the evidence that is at hand.
struct FreshnessAnswer {
  std::uint64_t number = 0;
  std::optional<StoreEvidence> store;
  std::vector<AcceptorStatement> statements;
  /// The set of acceptors, when the asker knows only an older one.
  std::optional<AcceptorSet> acceptors = std::nullopt;

  friend bool operator==(const FreshnessAnswer&,
                         const FreshnessAnswer&) = default;
};

/// A message between freshness cores. May be lost, repeated or reordered.
using FreshnessMessage = std::variant<FreshnessQuestion, FreshnessAnswer>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_FRESHNESS_MESSAGE_H_
