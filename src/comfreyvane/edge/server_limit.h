/// @file
/// Request limit of one backend server.
#ifndef COMFREYVANE_EDGE_SERVER_LIMIT_H_
#define COMFREYVANE_EDGE_SERVER_LIMIT_H_

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/limit_change.h"
#include "comfreyvane/edge/named_limit.h"

namespace comfreyvane {

/// The request limit that one backend server names in its answers, as one host
/// knows it. Part of BackendPicker.
class ServerLimit {
 public:
  /// Records what an answer of the server names. An answer without a limit ends
  /// the limit only if its request was sent after the limit was last named,
  /// since answers may arrive out of order.
  /// @param sent_at when the answered request was sent.
  [[nodiscard]] LimitChange OnAnswer(const NamedLimit& named,
                                     TimePoint sent_at,
                                     TimePoint now);

  /// Forgets the limit, since the server has restarted or left.
  [[nodiscard]] LimitChange Clear(TimePoint now);

  [[nodiscard]] bool is_named() const { return is_named_; }
  /// @return requests/s over all hosts; 0 if no limit is named.
  [[nodiscard]] double rate() const { return rate_; }

 private:
  [[nodiscard]] LimitChange Set(bool is_named, double rate, TimePoint heard_at);

  bool is_named_ = false;
  double rate_ = 0.0;
  TimePoint heard_at_{};  ///< Time of the last answer that decided.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_LIMIT_H_
