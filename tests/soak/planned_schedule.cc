#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>

#include "comfreyvane/net/clock.h"
#include "soak/fault_schedule.h"
#include "soak/soak_bounds.h"

namespace comfreyvane::soak {
namespace {

using std::chrono::milliseconds;

/// Time between the stops of hosts that are stopped in turn.
constexpr milliseconds kGap{1300};
/// Least limit that a server names for a while, in requests/s.
constexpr double kLeastLimit = 20.0;

}  // namespace

void FaultSchedule::InjectPlanned(TimePoint now) {
  switch (random_.Below(9)) {
    case 0:
      return TerminateInTurn(now);
    case 1:
    case 2:
      return TerminateSome(now);
    case 3:
    case 4:
      return ConfigureInSeries(now);
    case 5:
      return Release(now);
    case 6:
      return LimitServers(now);
    case 7:
      return SlowServers(now);
    default: {
      const std::size_t host = random_.Below(fleet_.size());
      if (busy_.contains(host))
        return;
      Note("reload host " + std::to_string(host));
      fleet_.Signal(host, SIGHUP);
    }
  }
}

void FaultSchedule::TerminateInTurn(TimePoint now) {
  if (!later_.empty() && random_.Uniform() < 0.5)
    return TerminateSome(now);
  Note("stop hosts in turn");
  const std::size_t first = random_.Below(fleet_.size());
  constexpr std::size_t kMost = 6;
  for (std::size_t i = 0; i < std::min(fleet_.size(), kMost); ++i) {
    const std::size_t host = (first + i) % fleet_.size();
    Later(now + static_cast<int>(i) * kGap,
          [this, host] { Terminate(host, MonotonicNow()); });
  }
}

void FaultSchedule::TerminateSome(TimePoint now) {
  const std::size_t most = (fleet_.size() + 1) / 2;
  const std::size_t stopped = 1 + random_.Below(most);
  for (std::size_t i = 0; i < stopped && busy_.size() < most; ++i) {
    const std::size_t host = random_.Below(fleet_.size());
    Later(now + Between(0, 500), [this, host, most] {
      if (busy_.size() < most)
        Terminate(host, MonotonicNow());
    });
  }
}

void FaultSchedule::ConfigureInSeries(TimePoint now) {
  const std::uint64_t versions = 1 + random_.Below(4);
  TimePoint at = now;
  for (std::uint64_t i = 0; i < versions; ++i) {
    Later(at, [this] { Configure(); });
    at += Between(50, 900);
  }
}

void FaultSchedule::Configure() {
  SoakConfiguration configuration;
  // Work that a planned stop must not cut lasts longer.
  configuration.timeout_ms = (fleet_.options().only_planned ? 3000 : 600) +
                             static_cast<int>(random_.Below(900));
  configuration.route_regions = DrawRegions();
  configuration.workspace_regions = DrawRegions();
  const auto text = [](const std::vector<std::string>& regions) {
    std::string joined;
    for (const std::string& region : regions)
      joined += " " + region;
    return joined.empty() ? " any" : joined;
  };
  Note("configuration: routes in" + text(configuration.route_regions) +
       ", workspace in" + text(configuration.workspace_regions));
  fleet_.Configure(configuration);
}

std::vector<std::string> FaultSchedule::DrawRegions() {
  static const std::array<std::vector<std::string>, 4> kRegions{
      {{}, {"west"}, {"east"}, {"west", "east"}}};
  return kRegions[random_.Below(kRegions.size())];
}

void FaultSchedule::Release(TimePoint now) {
  const std::size_t servers = 1 + random_.Below(2);
  for (std::size_t i = 0; i < servers; ++i)
    ReleaseServer(random_.Below(SoakFleet::kServers), now);
}

void FaultSchedule::ReleaseServer(std::size_t server, TimePoint now) {
  // The first one keeps its limit, and half of the others their work.
  if (server == 0 || busy_servers_.size() >= SoakFleet::kServers / 2 ||
      !busy_servers_.insert(server).second)
    return;
  Note("release server " + std::to_string(server));
  const TimePoint stop = now + kDrainBound + Between(500, 2500);
  const TimePoint start = stop + Between(100, 1500);
  shortages_.push_back({now, start});
  fleet_.LeaveServer(server);
  Later(stop, [this, server] { fleet_.StopServer(server); });
  Later(start, [this, server] {
    fleet_.RestartServer(server);
    busy_servers_.erase(server);
  });
}

void FaultSchedule::LimitServers(TimePoint now) {
  const Duration span = Between(1000, 9000);
  const bool are_all = random_.Uniform() < 0.3;
  const double limit = kLeastLimit + 40.0 * random_.Uniform();
  for (std::size_t server = 1; server < SoakFleet::kServers; ++server) {
    if (!are_all && random_.Uniform() < 0.7)
      continue;
    Note("server " + std::to_string(server) + " names a limit");
    shortages_.push_back({now, now + span});
    fleet_.SetServerLimit(server, limit);
    Later(now + span,
          [this, server] { fleet_.SetServerLimit(server, std::nullopt); });
  }
}

void FaultSchedule::SlowServers(TimePoint now) {
  const Duration span = Between(1000, 5000);
  const bool are_all = random_.Uniform() < 0.3;
  shortages_.push_back({now, now + span});
  for (std::size_t server = 1; server < SoakFleet::kServers; ++server) {
    if (!are_all && random_.Uniform() < 0.6)
      continue;
    Note("server " + std::to_string(server) + " is busy");
    fleet_.SetServerBusy(server, true);
    Later(now + span, [this, server] { fleet_.SetServerBusy(server, false); });
  }
}

void FaultSchedule::InjectOddly(TimePoint now) {
  const Duration span = Between(200, 4000);
  NoteFault(now, span);
  testing::StoreStandin::Faults faults;
  switch (random_.Below(4)) {
    case 0: {
      Note("the store comes back from a copy");
      fleet_.BackUpStore();
      Later(now + span, [this] { fleet_.RestoreStore(); });
      return;
    }
    case 1:
      Note("the store is silent");
      faults.silent = true;
      fleet_.SetStoreFaults(faults);
      return Later(now + span, [this] { fleet_.SetStoreFaults({}); });
    default: {
      const std::size_t server = random_.Below(SoakFleet::kServers);
      Note("server " + std::to_string(server) + " answers oddly");
      fleet_.SetServerFaults(server, 0.3);
      Later(now + span,
            [this, server] { fleet_.SetServerFaults(server, 0.0); });
    }
  }
}

}  // namespace comfreyvane::soak
