/// @file
/// What the failure domains have confirmed.
#ifndef COMFREYVANE_SPREAD_CONFIRMATION_BOARD_H_
#define COMFREYVANE_SPREAD_CONFIRMATION_BOARD_H_

#include <cstddef>
#include <map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/spread/spread_message.h"

namespace comfreyvane {

/// What the relays of all failure domains have confirmed, passed on in a
/// bounded number of rounds of notices after each change. Not thread safe.
class ConfirmationBoard {
 public:
  /// Takes a confirmation; older ones of the same domain are ignored.
  /// @return whether it was news.
  bool Take(const DomainConfirmation& confirmation);

  /// @return confirmations that are still to be passed on.
  [[nodiscard]] std::vector<DomainConfirmation> News() const;

  /// Counts a round of notices to all peers.
  void EndRound();

 private:
  struct Entry {
    DomainConfirmation confirmation;
    std::size_t rounds_left = 0;
  };

  std::map<FailureDomainId, Entry> domains_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_CONFIRMATION_BOARD_H_
