#include <algorithm>
#include <array>
#include <optional>
#include <vector>

#include "support/criterion.h"
#include "support/limit_fleet.h"

using namespace std::chrono_literals;

namespace comfreyvane::testing {
namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int kSchedules = 300;  // The release build runs all of them.
#else
constexpr int kSchedules = 10000;
#endif
constexpr int kSteps = 24;
constexpr std::uint32_t kHosts = 4;

/// Exact model of a limit: a bucket that drains at the rate. Checks that every
/// window of length t since its construction admits at most rate x t + burst.
class ReferenceBucket {
 public:
  ReferenceBucket(Limit limit, TimePoint now) : limit_(limit), at_(now) {}

  void Widen(Limit limit) {
    limit_.rate = std::max(limit_.rate, limit.rate);
    limit_.burst = std::max(limit_.burst, limit.burst);
  }
  /// @return whether one more token is within the limit.
  [[nodiscard]] bool Admit(TimePoint now) {
    level_ -= static_cast<double>((now - at_).count()) * 1e-9 * limit_.rate;
    level_ = std::max(level_, 0.0) + 1;
    at_ = now;
    return level_ <= limit_.burst + 1e-3;
  }

 private:
  Limit limit_;
  TimePoint at_;
  double level_ = 0;
};

/// A random schedule of faults in a small fleet whose callers request as many
/// tokens as they can get.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed)
      : random_(seed), fleet_(FleetOptions(seed)) {
    limits_ = {{LimitId(1), 100, 40}, {LimitId(2), 20, 60}};
    for (std::uint32_t i = 0; i < kHosts; ++i)
      fleet_.SetLimits(i, limits_, revision_);
    for (const Limit& limit : limits_) {
      transition_buckets_.emplace_back(limit, fleet_.now());
      exact_buckets_.emplace_back(limit, fleet_.now());
    }
    fleet_.connected = [this](std::uint32_t a, std::uint32_t b) {
      return a == b || (!is_isolated_[a] && !is_isolated_[b]) ||
             (is_isolated_[a] && is_isolated_[b]);
    };
    has_callers_.fill(true);
  }

  [[nodiscard]] bool RunAndCheck() {
    for (int step = 0; step < kSteps; ++step) {
      InjectFault();
      for (int part = 0; part < 4; ++part) {
        fleet_.RunUntil(fleet_.now() + 100ms);
        ApplyLimits();
        if (!RequestTokens())
          return false;
      }
    }
    return true;
  }
  [[nodiscard]] std::uint64_t admitted() const { return admitted_; }

 private:
  static LimitFleet::Options FleetOptions(std::uint64_t seed) {
    LimitFleet::Options options;
    options.hosts = kHosts;
    options.seed = seed;
    options.regions = 2;
    options.clock_error = 0.004;
    options.membership_delay = 300ms;
    options.terms.loan_lifetime = 1000ms;
    options.terms.grant_lifetime = 4s;
    options.terms.grant_renewal_interval = 1s;
    options.terms.table_poll_interval = 500ms;
    options.terms.drift_divisor = 100;
    return options;
  }

  /// Takes all tokens on hosts that have callers. Called at the first moment
  /// after a pause too, when a host could use an expired share.
  bool RequestTokens() {
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      if (!has_callers_[i] || !fleet_.Usable(i))
        continue;
      for (std::size_t l = 0; l < limits_.size(); ++l) {
        while (fleet_.TryTake(i, limits_[l].id).admitted) {
          ++admitted_;
          if (!transition_buckets_[l].Admit(fleet_.now()) ||
              !exact_buckets_[l].Admit(fleet_.now()))
            return false;
        }
      }
    }
    return true;
  }

  void InjectFault() {
    const auto host = static_cast<std::uint32_t>(random_.Below(kHosts));
    switch (random_.Below(13)) {
      case 0:
        is_isolated_[random_.Below(kHosts + 1)] = true;
        break;
      case 1:
        is_isolated_.fill(false);
        break;
      case 2:
        fleet_.Pause(host, Duration(random_.Below(3'000'000'000)));
        break;
      case 3:
        fleet_.Kill(host);
        break;
      case 4:
      case 5:
        if (!fleet_.host(host).alive)
          Replace(host);
        break;
      case 6:
        fleet_.store().up = !fleet_.store().up;
        break;
      case 7:
        fleet_.store().reply_loss = random_.Below(2) * 0.5;
        fleet_.store().latency = Duration(random_.Below(600'000'000));
        break;
      case 8:
        fleet_.loss = random_.Below(3) * 0.2;
        fleet_.duplication = 0.1;
        fleet_.replay = 0.1;
        break;
      case 9:
        ChangeLimits();
        break;
      case 10:
        fleet_.Stop(host);
        break;
      default:
        has_callers_[host] = random_.Below(2) == 0;
    }
  }

  void Replace(std::uint32_t host) {
    fleet_.Start(host);
    applied_revisions_[host] = revision_;
    fleet_.SetLimits(host, limits_, revision_);
  }

  void ChangeLimits() {
    if (limits_changing_)
      return;
    limits_changing_ = true;
    revision_ = revision_.next();
    const std::array<std::uint32_t, 4> sizes{20, 40, 60, 100};
    for (std::size_t l = 0; l < limits_.size(); ++l) {
      limits_[l].rate = sizes[random_.Below(4)];
      limits_[l].burst = sizes[random_.Below(4)];
      transition_buckets_[l].Widen(limits_[l]);
      exact_buckets_[l].Widen(limits_[l]);
    }
  }

  /// Applies a new revision at each host after a random delay. Once all hosts
  /// have applied it, only the new limits are checked.
  void ApplyLimits() {
    if (!limits_changing_)
      return;
    bool all = true;
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      if (!fleet_.host(i).alive || applied_revisions_[i] == revision_)
        continue;
      if (!fleet_.Usable(i) || random_.Below(3) != 0) {
        all = false;
        continue;
      }
      fleet_.SetLimits(i, limits_, revision_);
      applied_revisions_[i] = revision_;
    }
    if (!all)
      return;
    limits_changing_ = false;
    for (std::size_t l = 0; l < limits_.size(); ++l)
      exact_buckets_[l] = ReferenceBucket(limits_[l], fleet_.now());
  }

  RandomSource random_;
  LimitFleet fleet_;
  std::vector<Limit> limits_;
  Revision revision_{1};
  std::array<Revision, kHosts> applied_revisions_{Revision(1), Revision(1),
                                                  Revision(1), Revision(1)};
  bool limits_changing_ = false;
  std::vector<ReferenceBucket> transition_buckets_;
  std::vector<ReferenceBucket> exact_buckets_;
  std::array<bool, kHosts + 1> is_isolated_{};
  std::array<bool, kHosts> has_callers_{};
  std::uint64_t admitted_ = 0;
};

}  // namespace

Test(fleet_schedule, never_admits_over_rate_and_burst) {
  std::uint64_t admitted = 0;
  for (int seed = 1; seed <= kSchedules; ++seed) {
    Schedule schedule(static_cast<std::uint64_t>(seed));
    cr_assert(schedule.RunAndCheck(), "seed %d", seed);
    admitted += schedule.admitted();
  }
  cr_expect(admitted > 100ULL * kSchedules, "schedules admit too little");
}

}  // namespace comfreyvane::testing
