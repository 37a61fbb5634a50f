#include "comfreyvane/edge/workspace_limiter.h"

#include <algorithm>
#include <cmath>

namespace comfreyvane {
namespace {

/// Parts of the tolerance; see the class.
constexpr double kRatePart = 0.5;
constexpr double kCapacityPart = 0.6;
constexpr double kFirstPart = 0.4;

/// Least capacity of a bucket, so that a small share still lets one request
/// through at a time.
constexpr double kLeastCapacity = 1.0;

/// Part of its tokens that a host gives to another at most.
constexpr double kGivenPart = 0.5;

constexpr Duration kLongestWait = std::chrono::seconds(1);

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
      bucket.tokens = std::min(found->second.tokens, Capacity(bucket));
    } else {
      bucket.tokens = share_ * FirstTokens(bucket);
    }
    next.emplace(id, bucket);
  }
  buckets_ = std::move(next);
}

void WorkspaceLimiter::SetShare(double share, TimePoint now) {
  for (auto& [id, bucket] : buckets_)
    Refill(bucket, now);
  const double grown = share - share_;
  share_ = share;
  for (auto& [id, bucket] : buckets_) {
    if (grown > 0)
      bucket.tokens += grown * FirstTokens(bucket);
    bucket.tokens = std::min(bucket.tokens, Capacity(bucket));
  }
}

bool WorkspaceLimiter::TryTake(WorkspaceId workspace, TimePoint now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end() || found->second.rate <= 0)
    return true;
  Bucket& bucket = found->second;
  Refill(bucket, now);
  if (bucket.tokens < 1.0)
    return false;
  bucket.tokens -= 1.0;
  return true;
}

void WorkspaceLimiter::Return(WorkspaceId workspace, TimePoint now) {
  Receive(workspace, 1, now);
}

std::uint32_t WorkspaceLimiter::TakeForPeer(WorkspaceId workspace,
                                            std::uint32_t wanted,
                                            TimePoint now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end() || found->second.rate <= 0)
    return 0;
  Bucket& bucket = found->second;
  Refill(bucket, now);
  const auto spare = static_cast<std::uint32_t>(
      std::max(0.0, std::floor(bucket.tokens * kGivenPart)));
  const std::uint32_t given = std::min(spare, wanted);
  bucket.tokens -= given;
  return given;
}

void WorkspaceLimiter::Receive(WorkspaceId workspace,
                               std::uint32_t tokens,
                               TimePoint now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end())
    return;
  Bucket& bucket = found->second;
  Refill(bucket, now);
  // Received tokens may exceed this host's share of the burst: the giver holds
  // as many fewer.
  bucket.tokens = std::min(bucket.tokens + tokens, Capacity(bucket) + tokens);
}

Duration WorkspaceLimiter::UntilToken(WorkspaceId workspace,
                                      TimePoint now) const {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end())
    return Duration::zero();
  const Bucket& bucket = found->second;
  const double missing = 1.0 - TokensAt(bucket, now);
  if (missing <= 0)
    return Duration::zero();
  const double rate = RateHere(bucket);
  if (rate <= 0)
    return kLongestWait;
  const std::chrono::duration<double> wait(missing / rate);
  return std::min(kLongestWait, std::chrono::duration_cast<Duration>(wait));
}

double WorkspaceLimiter::Capacity(const Bucket& bucket) const {
  const double all = bucket.burst + kCapacityPart * tolerance_.slack;
  return std::max(kLeastCapacity, share_ * all);
}

double WorkspaceLimiter::FirstTokens(const Bucket& bucket) const {
  return tolerance_.overage * bucket.burst +
         kFirstPart * (tolerance_.slack + tolerance_.overage * bucket.rate *
                                              Seconds(tolerance_.window));
}

double WorkspaceLimiter::RateHere(const Bucket& bucket) const {
  return share_ * bucket.rate * (1.0 + kRatePart * tolerance_.overage);
}

double WorkspaceLimiter::TokensAt(const Bucket& bucket, TimePoint now) const {
  if (now <= bucket.updated)
    return bucket.tokens;
  const double refilled =
      bucket.tokens + bucket.rate * share_ * Seconds(now - bucket.updated);
  return std::max(bucket.tokens, std::min(refilled, Capacity(bucket)));
}

void WorkspaceLimiter::Refill(Bucket& bucket, TimePoint now) {
  bucket.tokens = TokensAt(bucket, now);
  bucket.updated = std::max(bucket.updated, now);
}

}  // namespace comfreyvane
