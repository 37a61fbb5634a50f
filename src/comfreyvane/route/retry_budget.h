/// @file
/// Limits retries to a fraction of the successful requests.
#ifndef COMFREYVANE_ROUTE_RETRY_BUDGET_H_
#define COMFREYVANE_ROUTE_RETRY_BUDGET_H_

namespace comfreyvane {

/// Token bucket that successful requests fill and retries drain. Failures add
/// no tokens, so the budget shrinks as the failure rate grows. Over any period,
/// the number of retries is at most max_tokens plus tokens_per_success times
/// the number of successes.
class RetryBudget {
 public:
  /// @param tokens_per_success 0 to 1.
  /// @param max_tokens capacity of the bucket, which is full at the start.
  RetryBudget(double tokens_per_success, double max_tokens);

  void OnSuccess();
  /// Takes one token.
  /// @return false, without a change, if less than one token is left.
  [[nodiscard]] bool TrySpend();

  [[nodiscard]] double tokens() const { return tokens_; }

 private:
  double tokens_per_success_;
  double max_tokens_;
  double tokens_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_RETRY_BUDGET_H_
