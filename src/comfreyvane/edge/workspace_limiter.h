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

/// This host's max_fraction in the limits of the fleet.
struct LimitRole {
  double share = 0.0;  ///< This host's share of each limit, 0 to 1.
  /// Sum of the shares of the hosts whose spare tokens this one keeps.
  double pooled_share = 0.0;
  bool is_pool = true;  ///< Keeps its own spare tokens, and those of others.

  friend bool operator==(const LimitRole&, const LimitRole&) = default;
};

/// Tokens of a workspace.
struct WorkspaceTokens {
  WorkspaceId workspace;
  double tokens = 0.0;

  friend bool operator==(const WorkspaceTokens&,
                         const WorkspaceTokens&) = default;
};

/// Token buckets by workspace that hold this host's share of each limit. The
/// shares of all hosts sum to at most one, so the sum over hosts keeps the
/// limit without a message on a request's way. Tokens can move between hosts:
/// the giver takes them out before it sends them.
///
/// With many hosts a share is a small max_fraction of a request. So one host of
/// each failure domain is_pool the tokens that the others have no use for, and
/// gives them to those that are short. Most of what the buckets may hold is
/// then at the is_pool. A bucket may always fill up to one token while requests
/// ask for it, since its host may be cut off from the pool.
///
/// The tolerance is spent so that the bound holds also when all hosts restart
/// in a window: max_fraction of the slack on the capacity of buckets, the rest
/// and the overage on what new buckets hold and on is_pool that change hands.
class WorkspaceLimiter {
 public:
  explicit WorkspaceLimiter(const LimitTolerance& tolerance)
      : tolerance_(tolerance) {}

  /// Puts limits in force. A bucket that is new holds little at first, since an
  /// earlier run of this host may have spent its share a moment ago; one whose
  /// limit fell gives up what is over it.
  void Configure(const std::vector<EdgeWorkspace>& workspaces, TimePoint now);

  void SetRole(const LimitRole& role, TimePoint now);

  /// Takes a token for a request that is about to run.
  /// @return false if the workspace is at its limit here.
  [[nodiscard]] bool TryTake(WorkspaceId workspace, TimePoint now);

  /// Returns the token of a request that has not run.
  void Return(WorkspaceId workspace, TimePoint now);

  /// Takes out tokens for another host.
  /// @param max_fraction of the tokens that are here which may be taken, 0
  /// to 1.
  /// @return tokens taken, a whole number.
  [[nodiscard]] double TakeForPeer(WorkspaceId workspace,
                                   double wanted,
                                   double max_fraction,
                                   TimePoint now);

  /// Takes out the tokens that recent requests have no use for, to be
  /// pooled_share.
  [[nodiscard]] std::vector<WorkspaceTokens> TakeSpare(TimePoint now);

  /// Puts in tokens that another host has taken out since this one was short.
  void Receive(WorkspaceId workspace, double tokens, TimePoint now);

  /// Puts in spare tokens of another host. A pool that is full loses them.
  void ReceiveSpare(WorkspaceId workspace, double tokens, TimePoint now);

  /// @return the time until a token is there.
  [[nodiscard]] Duration TimeUntilToken(WorkspaceId workspace,
                                        TimePoint now) const;

  [[nodiscard]] const LimitRole& role() const { return role_; }

 private:
  struct Bucket {
    double rate = 0.0;   ///< Of all hosts, requests/s; 0: no limit.
    double burst = 0.0;  ///< Of all hosts, requests.
    double tokens = 0.0;
    TimePoint updated{};
    TimePoint last_request{};  ///< Last request, served or not.
  };

  [[nodiscard]] double Capacity(const Bucket& bucket, TimePoint now) const;
  /// @param excess beyond the capacity that may stay.
  void Add(WorkspaceId workspace, double tokens, double excess, TimePoint now);
  [[nodiscard]] static bool IsInDemand(const Bucket& bucket, TimePoint now);
  /// @return tokens that a new bucket holds for all hosts together.
  [[nodiscard]] double InitialTokens(const Bucket& bucket) const;
  [[nodiscard]] double TokensAt(const Bucket& bucket, TimePoint now) const;
  void Refill(Bucket& bucket, TimePoint now);

  LimitTolerance tolerance_;
  LimitRole role_;
  std::unordered_map<WorkspaceId, Bucket> buckets_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_WORKSPACE_LIMITER_H_
