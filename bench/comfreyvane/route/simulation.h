/// @file
/// Hosts, servers and callers of the experiment in virtual time.
#ifndef BENCH_COMFREYVANE_ROUTE_SIMULATION_H_
#define BENCH_COMFREYVANE_ROUTE_SIMULATION_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <type_traits>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "deployment.h"
#include "event_queue.h"
#include "key_cache.h"
#include "policies.h"
#include "simulated_request.h"

namespace comfreyvane::bench {

/// A fault that strikes after kFaultAfter.
enum class Fault {
  kNone,
  kFailsFast,
  kReportsIdle,
  kReportsFull,
  kSlow,
  kDies,
  kCrashingRequest,
  kColdCaches,
};

/// What a run showed.
struct Measured {
  double p50_ms = 0;
  double p99_ms = 0;
  double slot_ms = 0;          ///< Slot time used for each answered request.
  double refused_percent = 0;  ///< Of requests that were all within capacity.
  double crashes = 0;
};

inline constexpr Duration kRunTime = seconds(30);
inline constexpr Duration kFaultAfter = seconds(8);
inline constexpr Duration kDeadline = seconds(1);
inline constexpr Duration kRestart = seconds(2);
inline constexpr std::size_t kKeys = 1000;
inline constexpr std::size_t kCacheKeys = 400;
inline constexpr std::size_t kServerQueue = 2;
inline constexpr double kNonIdempotentShare = 0.1;
inline constexpr double kSlowFactor = 8.0;

/// One run of one policy.
template <typename Policy>
class Simulation {
 public:
  template <typename MakePolicy>
  Simulation(const Deployment& deployment,
             Fault fault,
             std::uint64_t seed,
             MakePolicy make)
      : deployment_(deployment), fault_(fault), random_(seed) {
    for (std::size_t host = 0; host < kHosts; ++host)
      policies_.push_back(std::make_unique<Policy>(make(host)));
    for (const std::uint32_t slots : deployment.slots)
      servers_.push_back(std::make_unique<Server>(slots));
    for (const std::uint32_t slots : deployment.slots)
      all_slots_ += slots;
  }

  Measured Run() {
    start_ = events_.now();
    ScheduleArrival();
    events_.After(kFaultAfter, [this] { Strike(); });
    events_.After(milliseconds(10), [this] { SampleBusy(); });
    if constexpr (std::is_same_v<Policy, CorePolicy>) {
      events_.After(milliseconds(100), [this] { Gossip(); });
      events_.After(milliseconds(500), [this] { PollReports(); });
    }
    events_.RunUntil(start_ + kRunTime);
    return Summary();
  }

 private:
  using Request = std::shared_ptr<SimulatedRequest>;

  struct Running {
    Request request;
    std::size_t server;
  };

  struct Server {
    explicit Server(std::uint32_t all) : slots(all), cache(kCacheKeys) {}

    std::uint32_t slots;
    KeyCache cache;
    std::vector<Request> running;
    std::deque<Request> queue;
    std::uint64_t life = 0;
    bool down = false;
    bool fails = false;
    bool slow = false;
  };

  double Exponential(double mean) {
    return -mean * std::log(1.0 - random_.Uniform());
  }

  static Duration Seconds(double span) {
    return Duration(static_cast<Duration::rep>(span * 1e9));
  }

  void ScheduleArrival() {
    const double service =
        static_cast<double>(deployment_.service_time.count()) / 1e9;
    const double rate = deployment_.load * all_slots_ / service;
    events_.After(Seconds(Exponential(1.0 / rate)), [this] {
      Arrive(random_.Below(kHosts), DrawKey());
      ScheduleArrival();
    });
  }

  /// Few keys are read often.
  std::uint64_t DrawKey() {
    const double skewed = std::pow(random_.Uniform(), 3.0);
    return 1 + static_cast<std::uint64_t>(skewed * kKeys);
  }

  void Arrive(std::size_t host, std::uint64_t key) {
    auto request = std::make_shared<SimulatedRequest>();
    request->host = host;
    request->key = key;
    request->idempotent =
        key == kCrashingKey || random_.Uniform() >= kNonIdempotentShare;
    request->arrived = events_.now();
    request->deadline = events_.now() + kDeadline;
    Try(request);
  }

  void Try(const Request& request) {
    const TimePoint now = events_.now();
    if (now >= request->deadline) {
      End(request, false);
      return;
    }
    const Decision decision = policies_[request->host]->Choose(*request, now);
    if (const auto* send = std::get_if<SendTo>(&decision))
      Send(request, send->server);
    else if (const auto* again = std::get_if<AskAgain>(&decision))
      Wait(request, again->after);
    else
      End(request, false);
  }

  /// Waits in the order of arrival until a request of the host ends.
  void Wait(const Request& request, Duration after) {
    waiting_[request->host].push_back(request);
    events_.After(std::max<Duration>(after, milliseconds(1)),
                  [this, host = request->host] { TryWaiting(host); });
  }

  void TryWaiting(std::size_t host) {
    std::deque<Request>& waiting = waiting_[host];
    const std::size_t waited = waiting.size();
    for (std::size_t i = 0; i < waited && !waiting.empty(); ++i) {
      const Request next = waiting.front();
      waiting.pop_front();
      const TimePoint now = events_.now();
      if (now >= next->deadline) {
        End(next, false);
        continue;
      }
      const Decision decision = policies_[host]->Choose(*next, now);
      if (std::holds_alternative<AskAgain>(decision)) {
        waiting.push_front(next);
        events_.After(milliseconds(5), [this, host] { TryWaiting(host); });
        return;
      }
      if (const auto* send = std::get_if<SendTo>(&decision))
        Send(next, send->server);
      else
        End(next, false);
    }
  }

  Duration Delay(const Request& request, std::size_t server) const {
    return DelayOf(deployment_, DistanceOf(request->host, server));
  }

  void Send(const Request& request, std::size_t server) {
    const TimePoint now = events_.now();
    if (!policies_[request->host]->TryStart(*request, server, now)) {
      Try(request);
      return;
    }
    ++request->attempts;
    request->tried.push_back(server);
    request->dispatched = now;
    events_.After(Delay(request, server),
                  [this, request, server] { Accept(request, server); });
  }

  void Accept(const Request& request, std::size_t index) {
    Server& server = *servers_[index];
    if (server.down) {
      Answer(request, index, RequestOutcome::kConnectFailed);
    } else if (server.fails) {
      events_.After(milliseconds(1), [this, request, index] {
        Answer(request, index, RequestOutcome::kFailed);
      });
    } else if (server.running.size() < server.slots) {
      Start(request, index);
    } else if (server.queue.size() < kServerQueue) {
      server.queue.push_back(request);
    } else {
      Answer(request, index, RequestOutcome::kShed);
    }
  }

  void Start(const Request& request, std::size_t index) {
    Server& server = *servers_[index];
    server.running.push_back(request);
    const double mean =
        static_cast<double>(deployment_.service_time.count()) / 1e9;
    // Half of the time is fixed, the rest exponential.
    double span = 0.5 * mean + Exponential(0.5 * mean);
    if (request->idempotent && !server.cache.Use(request->key))
      span *= deployment_.cold_factor;
    if (server.slow)
      span *= kSlowFactor;
    const std::uint64_t life = server.life;
    if (request->key == kCrashingKey) {
      events_.After(milliseconds(5), [this, index, life] {
        if (servers_[index]->life == life)
          Crash(index);
      });
      return;
    }
    events_.After(Seconds(span), [this, request, index, life] {
      if (servers_[index]->life == life)
        Complete(request, index);
    });
  }

  void Complete(const Request& request, std::size_t index) {
    Server& server = *servers_[index];
    std::erase(server.running, request);
    Answer(request, index, RequestOutcome::kOk);
    if (server.queue.empty())
      return;
    const Request next = server.queue.front();
    server.queue.pop_front();
    Start(next, index);
  }

  void Crash(std::size_t index) {
    Server& server = *servers_[index];
    ++crashes_;
    ++server.life;
    server.down = true;
    server.cache.Clear();
    std::vector<Request> lost = std::exchange(server.running, {});
    lost.insert(lost.end(), server.queue.begin(), server.queue.end());
    server.queue.clear();
    if constexpr (std::is_same_v<Policy, CorePolicy>)
      TellOfCrash(index, lost);
    for (const Request& request : lost)
      Answer(request, index, RequestOutcome::kCrashed);
    events_.After(kRestart, [this, index] { servers_[index]->down = false; });
  }

  void TellOfCrash(std::size_t index, const std::vector<Request>& lost) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      std::vector<RequestId> running;
      for (const Request& request : lost) {
        if (request->host == host)
          running.emplace_back(request->key);
      }
      if (running.empty())
        continue;
      const CrashEvidence evidence = policies_[host]->guard.OnCrash(
          CorePolicy::ServerId(index), std::move(running), events_.now());
      events_.After(deployment_.region_delay, [this, host, evidence] {
        for (std::size_t peer = 0; peer < kHosts; ++peer) {
          if (peer != host)
            policies_[peer]->guard.OnEvidence(evidence, events_.now());
        }
      });
    }
  }

  void Answer(const Request& request,
              std::size_t server,
              RequestOutcome outcome) {
    events_.After(Delay(request, server), [this, request, server, outcome] {
      OnAnswer(request, server, outcome);
    });
  }

  void OnAnswer(const Request& request,
                std::size_t server,
                RequestOutcome outcome) {
    const TimePoint now = events_.now();
    Policy& policy = *policies_[request->host];
    policy.Finish(*request, server, outcome, now - request->dispatched, now);
    TryWaiting(request->host);
    if (outcome == RequestOutcome::kOk) {
      End(request, now <= request->deadline);
      return;
    }
    const auto backoff = policy.Retry(*request, outcome, now);
    request->may_have_run =
        request->may_have_run || (outcome != RequestOutcome::kShed &&
                                  outcome != RequestOutcome::kConnectFailed);
    if (backoff)
      events_.After(*backoff, [this, request] { Try(request); });
    else
      End(request, false);
  }

  void End(const Request& request, bool ok) {
    if (request->key == kCrashingKey) {
      events_.After(milliseconds(500),
                    [this] { Arrive(random_.Below(kHosts), kCrashingKey); });
      return;
    }
    if (events_.now() < start_ + kFaultAfter)
      return;
    ++ended_;
    if (ok)
      latencies_.push_back(events_.now() - request->arrived);
    else
      ++refused_;
  }

  void Strike() {
    Server& server = *servers_[1];
    server.fails = fault_ == Fault::kFailsFast;
    server.slow = fault_ == Fault::kSlow;
    if (fault_ == Fault::kDies) {
      Crash(1);
      server.life += 1;
      events_.After(kRestart + milliseconds(1),
                    [this] { servers_[1]->down = true; });
      events_.After(seconds(12), [this] { servers_[1]->down = false; });
    }
    if (fault_ == Fault::kCrashingRequest)
      Arrive(0, kCrashingKey);
    if (fault_ == Fault::kColdCaches) {
      for (const auto& each : servers_)
        each->cache.Clear();
    }
  }

  void SampleBusy() {
    if (events_.now() >= start_ + kFaultAfter) {
      ++samples_;
      for (const auto& server : servers_)
        busy_ += static_cast<double>(server->running.size());
    }
    events_.After(milliseconds(10), [this] { SampleBusy(); });
  }

  void Gossip() {
    ++sequence_;
    for (std::size_t host = 0; host < kHosts; ++host) {
      const PeerUse use{.host = HostId(1 + host),
                        .incarnation = Incarnation(1),
                        .sequence = sequence_,
                        .service = CorePolicy::kService,
                        .servers = policies_[host]->core.Use()};
      for (std::size_t peer = 0; peer < kHosts; ++peer) {
        if (peer == host || random_.Below(100) == 0)
          continue;
        events_.After(DelayOf(deployment_, DistanceOf(host, peer)),
                      [this, use, peer] {
                        policies_[peer]->core.OnPeerUse(use, events_.now());
                      });
      }
    }
    events_.After(milliseconds(100), [this] { Gossip(); });
  }

  LoadReport ReportOf(std::size_t index) const {
    const Server& server = *servers_[index];
    const bool lies = index == 1 && events_.now() >= start_ + kFaultAfter;
    if (lies && fault_ == Fault::kReportsIdle)
      return {};
    if (lies && fault_ == Fault::kReportsFull)
      return {.in_use = server.slots, .queued = 10};
    return {.in_use = static_cast<std::uint32_t>(server.running.size()),
            .queued = static_cast<std::uint32_t>(server.queue.size())};
  }

  void PollReports() {
    const TimePoint asked = events_.now();
    for (std::size_t index = 0; index < servers_.size(); ++index) {
      if (servers_[index]->down)
        continue;
      const LoadReport report = ReportOf(index);
      events_.After(milliseconds(200), [this, index, report, asked] {
        for (const auto& policy : policies_)
          policy->core.OnLoadReport(CorePolicy::ServerId(index), report, asked,
                                    events_.now());
      });
    }
    events_.After(milliseconds(500), [this] { PollReports(); });
  }

  double LatencyAt(double part) {
    if (latencies_.empty())
      return 0;
    std::sort(latencies_.begin(), latencies_.end());
    const auto index =
        static_cast<std::size_t>(part * static_cast<double>(latencies_.size()));
    const auto last = latencies_.size() - 1;
    return static_cast<double>(latencies_[std::min(index, last)].count()) / 1e6;
  }

  double SlotTime() const {
    const double seconds_measured = samples_ * 0.01;
    const double answered = ended_ - refused_;
    return 1000.0 * busy_ / samples_ * seconds_measured / answered;
  }

  Measured Summary() {
    return {.p50_ms = LatencyAt(0.50),
            .p99_ms = LatencyAt(0.99),
            .slot_ms = SlotTime(),
            .refused_percent = 100.0 * refused_ / ended_,
            .crashes = crashes_};
  }

  Deployment deployment_;
  Fault fault_;
  RandomSource random_;
  EventQueue events_;
  TimePoint start_{};
  std::vector<std::unique_ptr<Policy>> policies_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::array<std::deque<Request>, kHosts> waiting_;
  std::vector<Duration> latencies_;
  std::uint64_t sequence_ = 0;
  double all_slots_ = 0;
  double busy_ = 0;
  double samples_ = 0;
  double ended_ = 0;
  double refused_ = 0;
  double crashes_ = 0;
};

}  // namespace comfreyvane::bench

#endif  // BENCH_COMFREYVANE_ROUTE_SIMULATION_H_
