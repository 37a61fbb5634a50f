/// @file
/// Remembers why recent requests were refused.
#ifndef COMFREYVANE_HOST_DECISION_LOG_H_
#define COMFREYVANE_HOST_DECISION_LOG_H_

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/operate/explanation.h"

namespace comfreyvane {

/// A bounded memory of explanations by request; the oldest go first. Safe for
/// use by all threads.
class DecisionLog {
 public:
  /// @param capacity most requests remembered.
  explicit DecisionLog(std::size_t capacity) : capacity_(capacity) {}

  void Add(RequestId request, Explanation explanation);

  /// @return the decisions on the request, first to last; empty if unknown.
  [[nodiscard]] std::vector<Explanation> Find(RequestId request) const;

 private:
  std::size_t capacity_;
  mutable std::mutex mutex_;
  std::deque<RequestId> order_;
  std::unordered_map<RequestId, std::vector<Explanation>> explanations_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_DECISION_LOG_H_
