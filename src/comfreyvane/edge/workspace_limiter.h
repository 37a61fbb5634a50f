/// @file
/// Rate limits of workspaces at one host.
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

/// Tolerance of the rate limits, as the platform states it: in any window, all
/// hosts together may run (rate * window + burst) * (1 + overage) + slack
/// requests.
struct LimitTolerance {
  double overage = 0.1;
  double slack = 20.0;  ///< Requests.
  Duration window = std::chrono::seconds(5);

  friend bool operator==(const LimitTolerance&,
                         const LimitTolerance&) = default;
};

/// Role of this host in the limits of the fleet.
struct LimitRole {
  double share = 0.0;  ///< This host's share of each limit, 0 to 1.
  /// Sum of the shares of the hosts whose spare tokens this host pools.
  double pooled_share = 0.0;
  bool is_pool = true;  ///< Keeps its spare tokens and those of other hosts.

  friend bool operator==(const LimitRole&, const LimitRole&) = default;
};

/// Tokens of one workspace.
struct WorkspaceTokens {
  WorkspaceId workspace;
  double tokens = 0.0;

  friend bool operator==(const WorkspaceTokens&,
                         const WorkspaceTokens&) = default;
};

/// Token buckets that hold this host's share of the limit of each workspace.
/// The shares of all hosts sum to at most one, so the fleet keeps the limit
/// without communication on the request path. Tokens can move between hosts;
/// the sender removes them from its bucket before it sends them.
///
/// In a large fleet, the share of a host is a small fraction of a request. One
/// host of each failure domain therefore pools the spare tokens of the others
/// and gives them to hosts that are short. Most of the capacity is at the
/// pools. The bucket of a workspace in demand can always fill up to one token,
/// since its host may be disconnected from the pool.
///
/// The tolerance is divided so that the bound holds even if all hosts restart
/// within one window: a fraction of the slack raises the capacity of buckets,
/// the rest of the slack and the overage cover the initial tokens of new
/// buckets and pools that move to another host.
class WorkspaceLimiter {
 public:
  explicit WorkspaceLimiter(const LimitTolerance& tolerance)
      : tolerance_(tolerance) {}

  /// Applies the limits. A new bucket starts with few tokens, since an earlier
  /// run of this host may have used its share a moment before. A bucket whose
  /// limit was lowered loses the tokens beyond its new capacity.
  void Configure(const std::vector<EdgeWorkspace>& workspaces, TimePoint now);

  void SetRole(const LimitRole& role, TimePoint now);

  /// Takes a token for a request that is about to run.
  /// @return false if the workspace has reached its limit at this host.
  [[nodiscard]] bool TryTake(WorkspaceId workspace, TimePoint now);

  /// Returns the token of a request that has not run.
  void Return(WorkspaceId workspace, TimePoint now);

  /// Removes tokens to be sent to another host.
  /// @param max_fraction upper bound of the fraction of the bucket's tokens
  ///     that are taken, 0 to 1.
  /// @return the number of tokens taken, a whole number.
  [[nodiscard]] double TakeForPeer(WorkspaceId workspace,
                                   double wanted,
                                   double max_fraction,
                                   TimePoint now);

  /// Removes the tokens that recent requests do not need, to be sent to the
  /// pool.
  [[nodiscard]] std::vector<WorkspaceTokens> TakeSpare(TimePoint now);

  /// Adds tokens that another host has sent at this host's request.
  void Receive(WorkspaceId workspace, double tokens, TimePoint now);

  /// Adds spare tokens of another host. Tokens beyond the capacity are lost.
  void ReceiveSpare(WorkspaceId workspace, double tokens, TimePoint now);

  /// @return the time until a token is available.
  [[nodiscard]] Duration TimeUntilToken(WorkspaceId workspace,
                                        TimePoint now) const;

  [[nodiscard]] const LimitRole& role() const { return role_; }

 private:
  struct Bucket {
    double rate = 0.0;   ///< Of the whole fleet, requests/s; 0: no limit.
    double burst = 0.0;  ///< Of the whole fleet, requests.
    double tokens = 0.0;
    TimePoint updated{};
    TimePoint last_request{};  ///< Whether admitted or not.
  };

  [[nodiscard]] double Capacity(const Bucket& bucket, TimePoint now) const;
  /// @param excess tokens that may be kept beyond the capacity.
  void Add(WorkspaceId workspace, double tokens, double excess, TimePoint now);
  [[nodiscard]] static bool IsInDemand(const Bucket& bucket, TimePoint now);
  /// @return the initial tokens of a new bucket, for all hosts together.
  [[nodiscard]] double InitialTokens(const Bucket& bucket) const;
  [[nodiscard]] double TokensAt(const Bucket& bucket, TimePoint now) const;
  void Refill(Bucket& bucket, TimePoint now);

  LimitTolerance tolerance_;
  LimitRole role_;
  std::unordered_map<WorkspaceId, Bucket> buckets_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_WORKSPACE_LIMITER_H_
