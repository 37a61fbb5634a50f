#include "comfreyvane/edge/workspace_limiter.h"

#include <algorithm>
#include <cmath>

namespace comfreyvane {
namespace {

/// Division of the tolerance, see WorkspaceLimiter: fraction of the slack for
/// the capacity of buckets, and fraction of the slack and of the overage in a
/// window for their initial tokens.
constexpr double kCapacitySlackFraction = 0.6;
constexpr double kInitialToleranceFraction = 0.4;

/// Capacity of a bucket in demand, so that a host with a small share can still
/// admit one request at a time.
constexpr double kMinCapacity = 1.0;

/// Time over which a host collects tokens before they are pooled: the interval
/// of PeerLink's transfers plus delay.
constexpr Duration kTransferTime = std::chrono::milliseconds(300);

/// Time after a request for which its workspace counts as in demand. It covers
/// the interval between two transfers to the pool.
constexpr Duration kDemandPeriod = std::chrono::milliseconds(500);

/// Fewer tokens are not worth a message.
constexpr double kMinSpareTokens = 0.02;

constexpr Duration kMaxWait = std::chrono::seconds(1);

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void WorkspaceLimiter::Configure(const std::vector<EdgeWorkspace>& workspaces,
                                 TimePoint now) {
  std::unordered_map<WorkspaceId, Bucket> next;
  for (const EdgeWorkspace& workspace : workspaces) {
    const WorkspaceId id = WorkspaceId::Of(workspace.name);
    Bucket bucket{
        .rate = workspace.rate, .burst = workspace.burst, .updated = now};
    const auto found = buckets_.find(id);
    if (found != buckets_.end()) {
      Refill(found->second, now);
      bucket.last_request = found->second.last_request;
      bucket.tokens = std::min(found->second.tokens, Capacity(bucket, now));
    } else {
      bucket.tokens = role_.share * InitialTokens(bucket);
    }
    next.emplace(id, bucket);
  }
  buckets_ = std::move(next);
}

void WorkspaceLimiter::SetRole(const LimitRole& role, TimePoint now) {
  for (auto& [id, bucket] : buckets_)
    Refill(bucket, now);
  const double share_growth = role.share - role_.share;
  const bool was_pool = role_.is_pool;
  role_ = role;
  for (auto& [id, bucket] : buckets_) {
    if (share_growth > 0)
      bucket.tokens += share_growth * InitialTokens(bucket);
    // A former pool keeps its tokens until TakeSpare moves them to the new
    // pool.
    if (role.is_pool || !was_pool)
      bucket.tokens = std::min(bucket.tokens, Capacity(bucket, now));
  }
}

bool WorkspaceLimiter::TryTake(WorkspaceId workspace, TimePoint now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end() || found->second.rate <= 0)
    return true;
  Bucket& bucket = found->second;
  Refill(bucket, now);
  bucket.last_request = now;
  if (bucket.tokens < 1.0)
    return false;
  bucket.tokens -= 1.0;
  return true;
}

void WorkspaceLimiter::Return(WorkspaceId workspace, TimePoint now) {
  Receive(workspace, 1, now);
}

double WorkspaceLimiter::TakeForPeer(WorkspaceId workspace,
                                     double wanted,
                                     double max_fraction,
                                     TimePoint now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end() || found->second.rate <= 0)
    return 0.0;
  Bucket& bucket = found->second;
  Refill(bucket, now);
  const double given =
      std::floor(std::min(bucket.tokens * max_fraction, wanted));
  bucket.tokens -= given;
  return given;
}

std::vector<WorkspaceTokens> WorkspaceLimiter::TakeSpare(TimePoint now) {
  std::vector<WorkspaceTokens> all;
  if (role_.is_pool)
    return all;
  for (auto& [id, bucket] : buckets_) {
    if (bucket.rate <= 0)
      continue;
    Refill(bucket, now);
    const double spare =
        bucket.tokens - (IsInDemand(bucket, now) ? kMinCapacity : 0.0);
    if (spare < kMinSpareTokens)
      continue;
    bucket.tokens -= spare;
    all.push_back({id, spare});
  }
  return all;
}

void WorkspaceLimiter::Receive(WorkspaceId workspace,
                               double tokens,
                               TimePoint now) {
  // Requested tokens may exceed the capacity for the short time until they are
  // used.
  Add(workspace, tokens, tokens, now);
}

void WorkspaceLimiter::ReceiveSpare(WorkspaceId workspace,
                                    double tokens,
                                    TimePoint now) {
  Add(workspace, tokens, 0.0, now);
}

void WorkspaceLimiter::Add(WorkspaceId workspace,
                           double tokens,
                           double excess,
                           TimePoint now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end())
    return;
  Bucket& bucket = found->second;
  Refill(bucket, now);
  const double max_tokens = Capacity(bucket, now) + excess;
  bucket.tokens =
      std::max(bucket.tokens, std::min(bucket.tokens + tokens, max_tokens));
}

Duration WorkspaceLimiter::TimeUntilToken(WorkspaceId workspace,
                                          TimePoint now) const {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end())
    return Duration::zero();
  const Bucket& bucket = found->second;
  const double missing = 1.0 - TokensAt(bucket, now);
  if (missing <= 0)
    return Duration::zero();
  const double rate = role_.share * bucket.rate;
  if (rate <= 0)
    return kMaxWait;
  const std::chrono::duration<double> wait(missing / rate);
  return std::min(kMaxWait, std::chrono::duration_cast<Duration>(wait));
}

double WorkspaceLimiter::Capacity(const Bucket& bucket, TimePoint now) const {
  const double all = bucket.burst + kCapacitySlackFraction * tolerance_.slack;
  const double between = std::min(all, bucket.rate * Seconds(kTransferTime));
  const double min_capacity = IsInDemand(bucket, now) ? kMinCapacity : 0.0;
  if (!role_.is_pool)
    return min_capacity + role_.share * between;
  return std::max(min_capacity,
                  role_.share * all + role_.pooled_share * (all - between));
}

bool WorkspaceLimiter::IsInDemand(const Bucket& bucket, TimePoint now) {
  return bucket.last_request != TimePoint{} &&
         now - bucket.last_request < kDemandPeriod;
}

double WorkspaceLimiter::InitialTokens(const Bucket& bucket) const {
  return tolerance_.overage * bucket.burst +
         kInitialToleranceFraction *
             (tolerance_.slack +
              tolerance_.overage * bucket.rate * Seconds(tolerance_.window));
}

double WorkspaceLimiter::TokensAt(const Bucket& bucket, TimePoint now) const {
  if (now <= bucket.updated)
    return bucket.tokens;
  const double refilled =
      bucket.tokens + bucket.rate * role_.share * Seconds(now - bucket.updated);
  return std::max(bucket.tokens, std::min(refilled, Capacity(bucket, now)));
}

void WorkspaceLimiter::Refill(Bucket& bucket, TimePoint now) {
  bucket.tokens = TokensAt(bucket, now);
  bucket.updated = std::max(bucket.updated, now);
}

}  // namespace comfreyvane
