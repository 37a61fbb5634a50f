#include "comfreyvane/host/decision_log.h"

#include <utility>

namespace comfreyvane {

void DecisionLog::Add(RequestId request, Explanation explanation) {
  const std::lock_guard lock(mutex_);
  auto& explanations = explanations_[request];
  if (explanations.empty())
    order_.push_back(request);
  explanations.push_back(std::move(explanation));
  if (order_.size() <= capacity_)
    return;
  explanations_.erase(order_.front());
  order_.pop_front();
}

std::vector<Explanation> DecisionLog::Find(RequestId request) const {
  const std::lock_guard lock(mutex_);
  const auto found = explanations_.find(request);
  return found == explanations_.end() ? std::vector<Explanation>()
                                      : found->second;
}

}  // namespace comfreyvane
