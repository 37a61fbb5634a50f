/// @file
/// Routing policies that the experiment compares.
#ifndef BENCH_COMFREYVANE_ROUTE_POLICIES_H_
#define BENCH_COMFREYVANE_ROUTE_POLICIES_H_

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <variant>
#include <vector>

#include "comfreyvane/route/crash_guard.h"
#include "comfreyvane/route/retry_policy.h"
#include "comfreyvane/route/route_core.h"
#include "deployment.h"
#include "simulated_request.h"

namespace comfreyvane::bench {

/// Send it to the server of this index.
struct SendTo {
  std::size_t server = 0;
};
/// Ask again later.
struct AskAgain {
  Duration after{0};
};
/// Refuse it now.
struct RefuseNow {};

using Decision = std::variant<SendTo, AskAgain, RefuseNow>;

/// How a naive policy picks.
enum class NaivePick { kRandom, kRoundRobin, kNearRandom };

/// Picks without regard to load; repeats up to three times at once.
class NaivePolicy {
 public:
  NaivePolicy(const Deployment& deployment,
              std::size_t host,
              NaivePick pick,
              std::uint64_t seed)
      : servers_(deployment.slots.size()),
        host_(host),
        pick_(pick),
        random_(seed),
        next_(host) {}

  Decision Choose(SimulatedRequest& request, TimePoint) {
    if (pick_ == NaivePick::kRoundRobin)
      return SendTo{next_++ % servers_};
    const bool near = pick_ == NaivePick::kNearRandom && request.tried.empty();
    for (;;) {
      const std::size_t server = random_.Below(servers_);
      if (!near || DomainOf(server) == DomainOf(host_))
        return SendTo{server};
    }
  }

  bool TryStart(const SimulatedRequest&, std::size_t, TimePoint) {
    return true;
  }
  void Finish(const SimulatedRequest&,
              std::size_t,
              RequestOutcome,
              Duration,
              TimePoint) {}

  std::optional<Duration> Retry(const SimulatedRequest& request,
                                RequestOutcome outcome,
                                TimePoint) {
    const bool not_run = outcome == RequestOutcome::kShed ||
                         outcome == RequestOutcome::kConnectFailed;
    if (request.attempts >= 3 || (!request.idempotent && !not_run))
      return std::nullopt;
    return Duration(0);
  }

 private:
  std::size_t servers_;
  std::size_t host_;
  NaivePick pick_;
  RandomSource random_;
  std::size_t next_;
};

/// The cores of package route, joined as the process joins them.
class CorePolicy {
 public:
  CorePolicy(const Deployment& deployment, std::size_t host, std::uint64_t seed)
      : core(kService, RouteLimits{}, seed),
        guard(HostId(1 + host), Incarnation(1), CrashLimits{}),
        retries_(RetryLimits{}, seed) {
    std::vector<RouteServer> servers;
    for (std::size_t i = 0; i < deployment.slots.size(); ++i) {
      servers.push_back({.id = ServerId(i),
                         .site = SiteId(1 + DomainOf(i)),
                         .region = RegionId(1 + DomainOf(i) / 2),
                         .distance = DistanceOf(host, i),
                         .slots = deployment.slots[i],
                         .connection_quota = 14});
    }
    core.OnServers(servers, TimePoint(std::chrono::hours(1)));
  }

  static BackendServerId ServerId(std::size_t index) {
    return BackendServerId((1 + index) * 0x9e3779b97f4a7c15ULL);
  }

  Decision Choose(SimulatedRequest& request, TimePoint now) {
    const CrashAdmission admission = guard.Admit(RequestId(request.key), now);
    if (admission == CrashAdmission::kContained)
      return RefuseNow{};
    request.isolated = admission == CrashAdmission::kIsolated;
    RouteRequest route{.idempotent = request.idempotent,
                       .isolated = request.isolated,
                       .deadline = request.deadline};
    if (request.idempotent)
      route.affinity = RequestId(request.key * 0xbf58476d1ce4e5b9ULL);
    for (const std::size_t tried : request.tried)
      route.excluded.push_back(ServerId(tried));
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Decision> {
          BOOST_LEAF_AUTO(choice, core.Choose(route, now));
          return Decision(SendTo{IndexOf(choice.server)});
        },
        [](const Refusal& refusal) {
          return refusal.reason == RefusalReason::kNoBackendServer
                     ? Decision(AskAgain{refusal.retry_after})
                     : Decision(RefuseNow{});
        },
        [] { return Decision(RefuseNow{}); });
  }

  bool TryStart(const SimulatedRequest& request,
                std::size_t server,
                TimePoint now) {
    return core.TryStart(ServerId(server), request.isolated, now);
  }

  void Finish(const SimulatedRequest& request,
              std::size_t server,
              RequestOutcome outcome,
              Duration latency,
              TimePoint now) {
    core.Finish(ServerId(server), outcome, latency, now);
    if (outcome != RequestOutcome::kOk)
      return;
    retries_.OnSuccess();
    guard.OnCompleted(RequestId(request.key), now);
  }

  std::optional<Duration> Retry(const SimulatedRequest& request,
                                RequestOutcome outcome,
                                TimePoint now) {
    const RetryDecision decision =
        retries_.Decide({.outcome = AttemptOutcomeOf(outcome),
                         .idempotent = request.idempotent,
                         .sent = outcome != RequestOutcome::kConnectFailed,
                         .sent_before = request.may_have_run,
                         .number = request.attempts,
                         .expected = milliseconds(20),
                         .deadline = request.deadline},
                        now);
    const auto* retry = std::get_if<comfreyvane::Retry>(&decision);
    return retry == nullptr ? std::nullopt : std::optional(retry->backoff);
  }

  RouteCore core;
  CrashGuard guard;

  inline static const ServiceId kService{1};

 private:
  static std::size_t IndexOf(BackendServerId id) {
    std::size_t index = 0;
    while (ServerId(index) != id)
      ++index;
    return index;
  }

  static AttemptOutcome AttemptOutcomeOf(RequestOutcome outcome) {
    switch (outcome) {
      case RequestOutcome::kShed:
        return AttemptOutcome::kShed;
      case RequestOutcome::kConnectFailed:
        return AttemptOutcome::kConnectFailed;
      case RequestOutcome::kTimeout:
        return AttemptOutcome::kTimeout;
      case RequestOutcome::kCrashed:
        return AttemptOutcome::kCrashed;
      default:
        return AttemptOutcome::kServerError;
    }
  }

  RetryPolicy retries_;
};

}  // namespace comfreyvane::bench

#endif  // BENCH_COMFREYVANE_ROUTE_POLICIES_H_
