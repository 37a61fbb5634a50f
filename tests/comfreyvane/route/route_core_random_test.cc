#include <algorithm>
#include <map>
#include <set>

#include "comfreyvane/route/route_fixture.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;

namespace {

constexpr int kSchedules = 10000;
constexpr int kSteps = 60;
/// Interval at which the core updates values that depend only on the time.
constexpr Duration kRefresh = milliseconds(10);
constexpr std::uint32_t kLinkQuota = 2;

/// Applies random events to the core of one host and checks its invariants
/// after each event.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed)
      : random_(seed), core_(kService, RouteLimits{}, seed) {
    core_.OnLinkQuota(RegionId::Of("far"), kLinkQuota, now_);
    ChangeServers();
  }

  void Step() {
    now_ += milliseconds(random_.Below(40));
    switch (random_.Below(10)) {
      case 0:
        ChangeServers();
        break;
      case 1:
        Report();
        break;
      case 2:
        Probe();
        break;
      case 3:
        ReceivePeerUse();
        break;
      case 4:
      case 5:
      case 6:
        Finish();
        break;
      default:
        Start();
        break;
    }
    Check();
  }

 private:
  BackendServerId Any() {
    return Server(static_cast<int>(random_.Below(8))).id;
  }

  void ChangeServers() {
    servers_.clear();
    for (int i = 0; i < 8; ++i) {
      if (random_.Below(5) == 0)
        continue;
      RouteServer server = Server(i, static_cast<Distance>(i % 3));
      server.leaving = random_.Below(6) == 0;
      servers_[server.id] = server;
    }
    std::vector<RouteServer> list;
    for (const auto& [id, server] : servers_)
      list.push_back(server);
    core_.OnServers(list, now_);
  }

  void Report() {
    const auto in_use = static_cast<std::uint32_t>(random_.Below(10));
    const bool leaving = random_.Below(8) == 0;
    core_.OnLoadReport(Any(), {.in_use = in_use, .leaving = leaving},
                       now_ - milliseconds(random_.Below(500)), now_);
  }

  void Probe() {
    core_.OnProbe(Any(), static_cast<ProbeOutcome>(random_.Below(4)), now_);
  }

  void ReceivePeerUse() {
    PeerUse use{.host = HostId(1 + random_.Below(3)),
                .incarnation = Incarnation(random_.Below(2)),
                .sequence = random_.Below(50),
                .service = kService};
    use.servers.push_back(
        {Any(), static_cast<std::uint32_t>(random_.Below(5))});
    core_.OnPeerUse(use, now_);
  }

  void Finish() {
    if (running_.empty())
      return;
    const std::size_t index = random_.Below(running_.size());
    const BackendServerId server = running_[index];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    core_.Finish(server, static_cast<RequestOutcome>(random_.Below(7)),
                 milliseconds(random_.Below(100)), now_);
  }

  void Start() {
    now_ += kRefresh;
    RouteRequest request = Read(random_.Below(3));
    request.idempotent = random_.Below(2) == 0;
    request.isolated = random_.Below(8) == 0;
    if (random_.Below(3) == 0)
      request.excluded.push_back(Any());
    const Chosen chosen = Choose(core_, request, now_);
    if (const auto* refusal = std::get_if<Refusal>(&chosen)) {
      cr_assert(refusal->run_state == RunState::kNotRun);
      cr_assert(refusal->retry_after > Duration(0));
      return;
    }
    const RouteChoice choice = std::get<RouteChoice>(chosen);
    CheckChoice(choice, request);
    cr_assert(core_.TryStart(choice.server, request.isolated, now_));
    running_.push_back(choice.server);
    if (request.isolated)
      cr_assert(Running(choice.server) == 1);
  }

  void CheckChoice(const RouteChoice& choice, const RouteRequest& request) {
    const auto listed = servers_.find(choice.server);
    cr_assert(listed != servers_.end() && !listed->second.leaving);
    cr_assert(std::find(request.excluded.begin(), request.excluded.end(),
                        choice.server) == request.excluded.end());
    for (const ServerState& state : core_.States(now_)) {
      if (state.server != choice.server)
        continue;
      cr_assert(state.ejected == EjectionReason::kNone && !state.leaving);
      cr_assert(state.in_use + state.in_use_by_others < state.limit);
    }
    if (!request.isolated && request.excluded.empty() && request.idempotent)
      CheckNearest(choice);
  }

  void CheckNearest(const RouteChoice& choice) {
    for (const ServerState& state : core_.States(now_)) {
      const auto listed = servers_.find(state.server);
      if (listed == servers_.end() || state.free_slots == 0 || state.reserved)
        continue;
      cr_assert(choice.distance <= listed->second.distance);
    }
  }

  std::int64_t Running(BackendServerId server) const {
    return std::count(running_.begin(), running_.end(), server);
  }

  std::uint64_t Ejections() const {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < kEjectionReasonCount; ++i)
      sum += core_.Ejections(static_cast<EjectionReason>(i));
    return sum;
  }

  void Check() {
    cr_assert(core_.InUse() == running_.size());
    std::uint32_t far = 0;
    std::size_t active = 0;
    std::size_t ejected = 0;
    for (const ServerState& state : core_.States(now_)) {
      cr_assert(state.in_use == Running(state.server));
      cr_assert(state.in_use <= 3 && state.in_use_by_others <= 3);
      const auto listed = servers_.find(state.server);
      if (listed != servers_.end() &&
          listed->second.distance == Distance::kOtherRegion)
        far += state.in_use;
      if (state.leaving) {
        cr_assert(state.free_slots == 0);
        continue;
      }
      ++active;
      ejected += state.ejected == EjectionReason::kNone ? 0 : 1;
    }
    cr_assert(far <= kLinkQuota);
    const std::uint64_t ejections = Ejections();
    cr_assert(ejections == ejections_ || 2 * ejected <= active);
    ejections_ = ejections;
  }

  RandomSource random_;
  RouteCore core_;
  TimePoint now_ = kStart;
  std::map<BackendServerId, RouteServer> servers_;
  std::vector<BackendServerId> running_;
  std::uint64_t ejections_ = 0;
};

}  // namespace

Test(route_core_random, keeps_its_invariants_after_each_step) {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Schedule schedule(seed);
    for (int step = 0; step < kSteps; ++step)
      schedule.Step();
  }
}
