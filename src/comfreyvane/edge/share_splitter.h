/// @file
/// Weighted distribution of requests over services.
#ifndef COMFREYVANE_EDGE_SHARE_SPLITTER_H_
#define COMFREYVANE_EDGE_SHARE_SPLITTER_H_

#include <cassert>
#include <cstdint>
#include <vector>

#include "comfreyvane/edge/service_share.h"

namespace comfreyvane {

/// Distributes requests over services by smooth weighted round robin: the
/// number of requests of each service differs from its share by at most one at
/// any time.
class ShareSplitter {
 public:
  /// Returns the service of the next request.
  /// @param shares not empty; a change resets the distribution.
  [[nodiscard]] ServiceId Next(const std::vector<ServiceShare>& shares) {
    assert(!shares.empty());
    if (shares != shares_) {
      shares_ = shares;
      credit_.assign(shares.size(), 0);
    }
    std::int64_t total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      total += shares_[i].weight;
      credit_[i] += shares_[i].weight;
      if (credit_[i] > credit_[best])
        best = i;
    }
    credit_[best] -= total;
    return shares_[best].service;
  }

 private:
  std::vector<ServiceShare> shares_;
  std::vector<std::int64_t> credit_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SHARE_SPLITTER_H_
