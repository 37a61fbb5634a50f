/// @file
/// Hosts that wait for tokens of a pool.
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

/// Hosts that have recently requested more tokens than the pool had, oldest
/// first. A host is dropped after a short time, since its requests do not wait
/// for longer.
class TokenWaiters {
 public:
  void Add(HostId host, const WorkspaceTokens& wanted, TimePoint now) {
    Expire(now);
    waiters_.push_back({host, wanted, now});
  }

  /// Offers tokens to the hosts that still wait.
  /// @param try_give called with each host and the tokens that it wants;
  ///     returns whether the host got some and no longer waits.
  template <typename TryGive>
  void Serve(TryGive try_give, TimePoint now) {
    Expire(now);
    std::erase_if(waiters_, [&](const Waiter& waiter) {
      return try_give(waiter.host, waiter.wanted);
    });
  }

  [[nodiscard]] std::size_t size() const { return waiters_.size(); }

 private:
  /// Time after which a request that waits for a token is refused.
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
