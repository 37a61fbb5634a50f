/// @file
/// Splits requests over services by weight.
#ifndef COMFREYVANE_EDGE_SHARE_SPLITTER_H_
#define COMFREYVANE_EDGE_SHARE_SPLITTER_H_

#include <cassert>
#include <cstdint>
#include <vector>

#include "comfreyvane/edge/service_share.h"

namespace comfreyvane {

/// Splits requests over services by weight: smooth weighted round robin, in
/// which the share of each service is off by at most one request at any time.
class ShareSplitter {
 public:
  /// Takes the next service.
  /// @param shares at least one; others than at the last call start anew.
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
