#include "comfreyvane/spread/confirmation_board.h"

namespace comfreyvane {

namespace {

constexpr std::size_t kRounds = 3;

}  // namespace

bool ConfirmationBoard::Take(const DomainConfirmation& confirmation) {
  auto [at, added] = domains_.try_emplace(confirmation.domain);
  Entry& entry = at->second;
  if (!added && (confirmation.lowest < entry.confirmation.lowest ||
                 confirmation.newest < entry.confirmation.newest ||
                 confirmation == entry.confirmation))
    return false;
  entry = {confirmation, kRounds};
  return true;
}

std::vector<DomainConfirmation> ConfirmationBoard::News() const {
  std::vector<DomainConfirmation> news;
  for (const auto& [domain, entry] : domains_) {
    if (entry.rounds_left > 0)
      news.push_back(entry.confirmation);
  }
  return news;
}

void ConfirmationBoard::EndRound() {
  for (auto& [domain, entry] : domains_) {
    if (entry.rounds_left > 0)
      --entry.rounds_left;
  }
}

}  // namespace comfreyvane
