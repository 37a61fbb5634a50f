/// @file
/// Rates of workspaces at one host.
#ifndef COMFREYVANE_EDGE_WORKSPACE_LIMITER_H_
#define COMFREYVANE_EDGE_WORKSPACE_LIMITER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/edge_workspace.h"

namespace comfreyvane {

/// What all hosts together may run beyond a limit, by the platform's bounds: in
/// any window, (rate * window + burst) * (1 + overage) + slack requests.
struct LimitTolerance {
  double overage = 0.1;
  double slack = 20.0;  ///< Requests.
  Duration window = std::chrono::seconds(5);

  friend bool operator==(const LimitTolerance&,
                         const LimitTolerance&) = default;
};

/// Token buckets by workspace that hold this host's share of each limit. The
/// shares of all hosts sum to at most one, so the sum over hosts keeps the
/// limit without a message on a request's way. Tokens can move between hosts:
/// the giver takes them out before it sends them.
///
/// The tolerance is spent so that the bound holds also when all hosts restart
/// in a window: half of the overage on the rate, part of the slack on the
/// capacity of buckets, the rest on what new buckets hold.
class WorkspaceLimiter {
 public:
  explicit WorkspaceLimiter(const LimitTolerance& tolerance)
      : tolerance_(tolerance) {}

  /// Puts limits in force. A bucket that is new holds little at first, since an
  /// earlier run of this host may have spent its share a moment ago; one whose
  /// limit fell gives up what is over it.
  void Configure(const std::vector<EdgeWorkspace>& workspaces, TimePoint now);

  /// Sets this host's part of each limit, 0 to 1.
  void SetShare(double share, TimePoint now);

  /// Takes a token for a request that is about to run.
  /// @return false if the workspace is at its limit here.
  [[nodiscard]] bool TryTake(WorkspaceId workspace, TimePoint now);

  /// Returns the token of a request that has not run.
  void Return(WorkspaceId workspace, TimePoint now);

  /// Takes out tokens for another host: at most half of what is here.
  /// @return tokens taken, in whole requests.
  [[nodiscard]] std::uint32_t TakeForPeer(WorkspaceId workspace,
                                          std::uint32_t wanted,
                                          TimePoint now);

  /// Puts in tokens that another host has taken out.
  void Receive(WorkspaceId workspace, std::uint32_t tokens, TimePoint now);

  /// @return the time until a token is there.
  [[nodiscard]] Duration UntilToken(WorkspaceId workspace, TimePoint now) const;

  [[nodiscard]] double share() const { return share_; }

 private:
  struct Bucket {
    double rate = 0.0;   ///< Of all hosts, requests/s; 0: no limit.
    double burst = 0.0;  ///< Of all hosts, requests.
    double tokens = 0.0;
    TimePoint updated{};
  };

  [[nodiscard]] double Capacity(const Bucket& bucket) const;
  /// @return tokens that a new bucket holds for all hosts together.
  [[nodiscard]] double FirstTokens(const Bucket& bucket) const;
  /// @return tokens that this host's bucket gets in a second.
  [[nodiscard]] double RateHere(const Bucket& bucket) const;
  [[nodiscard]] double TokensAt(const Bucket& bucket, TimePoint now) const;
  void Refill(Bucket& bucket, TimePoint now);

  LimitTolerance tolerance_;
  double share_ = 0.0;
  std::unordered_map<WorkspaceId, Bucket> buckets_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_WORKSPACE_LIMITER_H_
