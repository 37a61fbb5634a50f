/// @file
/// Hosts that a pool gave too few tokens.
#ifndef COMFREYVANE_EDGE_TOKEN_WAITERS_H_
#define COMFREYVANE_EDGE_TOKEN_WAITERS_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/workspace_limiter.h"

namespace comfreyvane {

/// Hosts that a pool gave too few tokens a moment ago, the oldest first. Their
/// requests give up soon, so that a host is forgotten after a short time.
class TokenWaiters {
 public:
  void Add(HostId host, const WorkspaceTokens& wanted, TimePoint now) {
    Expire(now);
    waiters_.push_back({host, wanted, now});
  }

  /// Gives to those that still wait.
  /// @param try_give called with each host and what it wants; returns whether
  ///     the host got some and waits no longer.
  template <typename TryGive>
  void Serve(TryGive try_give, TimePoint now) {
    Expire(now);
    std::erase_if(waiters_, [&](const Waiter& waiter) {
      return try_give(waiter.host, waiter.wanted);
    });
  }

  [[nodiscard]] std::size_t size() const { return waiters_.size(); }

 private:
  /// Time after which a request that waits for a token has given up.
  static constexpr Duration kWaitTimeout = std::chrono::milliseconds(100);

  struct Waiter {
    HostId host;
    WorkspaceTokens wanted;
    TimePoint since{};
  };

  void Expire(TimePoint now) {
    std::erase_if(waiters_, [now](const Waiter& waiter) {
      return now - waiter.since > kWaitTimeout;
    });
  }

  std::vector<Waiter> waiters_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_TOKEN_WAITERS_H_
