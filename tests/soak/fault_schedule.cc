#include "soak/fault_schedule.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>

#include "comfreyvane/net/clock.h"
#include "soak/soak_bounds.h"

namespace comfreyvane::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::array kModes{ProxyMode::kDelay, ProxyMode::kSilent,
                            ProxyMode::kOneWay, ProxyMode::kRefuse};

/// Parts of what is injected that are planned work, and oddities of peers.
constexpr double kPlannedPart = 0.25;
constexpr double kOddPart = 0.3;
/// Part of the stops in which a host gets another signal.
constexpr double kSecondSignalPart = 0.2;

}  // namespace

FaultSchedule::FaultSchedule(SoakFleet& fleet)
    : fleet_(fleet),
      random_(fleet.options().seed),
      cuts_random_(~fleet.options().seed) {}

void FaultSchedule::Run(TimePoint end) {
  TimePoint next = MonotonicNow();
  for (TimePoint now = next; now < end; now = MonotonicNow()) {
    RunDue(now);
    if (now >= next) {
      Inject(now);
      next = now + Between(150, 900);
    }
    if (fleet_.options().cuts_from_servers && now >= next_cut_)
      CutFromServers(now);
    std::this_thread::sleep_for(milliseconds(10));
  }
  while (!later_.empty()) {
    RunDue(MonotonicNow());
    std::this_thread::sleep_for(milliseconds(10));
  }
}

void FaultSchedule::Inject(TimePoint now) {
  if (fleet_.options().only_planned || random_.Uniform() < kPlannedPart)
    return InjectPlanned(now);
  if (fleet_.options().has_odd_peers && random_.Uniform() < kOddPart)
    return InjectOddly(now);
  const std::size_t host = random_.Below(fleet_.size());
  switch (random_.Below(3)) {
    case 0:
      if (!busy_.contains(host))
        InjectIntoHost(host, now);
      break;
    case 1:
      InjectIntoPath(random_.Below(SoakFleet::kServers), now);
      break;
    default:
      InjectIntoStore(now);
  }
}

void FaultSchedule::CutFromServers(TimePoint now) {
  constexpr std::array kKinds{CutKind::kHang, CutKind::kReset,
                              CutKind::kRefuse};
  const Duration span = milliseconds(500 + cuts_random_.Below(4500));
  const CutKind kind = kKinds[cuts_random_.Below(kKinds.size())];
  next_cut_ = now + span + milliseconds(cuts_random_.Below(3000));
  NoteFault(now, span);
  for (std::size_t host = 0; host < fleet_.size(); ++host) {
    if (cuts_random_.Uniform() < 0.4)
      continue;
    Note("cut host " + std::to_string(host) + " from servers, kind " +
         std::to_string(static_cast<int>(kind)));
    fleet_.CutFromServers(host, kind);
    Later(now + span, [this, host] { fleet_.RestoreServers(host); });
  }
}

void FaultSchedule::InjectIntoHost(std::size_t host, TimePoint now) {
  switch (random_.Below(5)) {
    case 0:
      return Kill(host, now);
    case 1:
    case 2:
      return Terminate(host, now);
    case 3:
      return Pause(host, now);
    default:
      Note("reload host " + std::to_string(host));
      fleet_.Signal(host, SIGHUP);
  }
}

void FaultSchedule::Kill(std::size_t host, TimePoint now) {
  Note("kill host " + std::to_string(host));
  const Duration span = Between(0, 1500);
  NoteFault(now, milliseconds(500));
  harms_.push_back({host, {now, now + span}});
  stops_.push_back({host, {now, now + span}});
  busy_.insert(host);
  fleet_.Signal(host, SIGKILL);
  static_cast<void>(fleet_.Join(host));
  Later(now + span, [this, host] { Restart(host); });
}

void FaultSchedule::Restart(std::size_t host) {
  fleet_.Start(host);
  busy_.erase(host);
  for (HostSpan& stop : stops_) {
    if (stop.host == host && stop.span.end == TimePoint::max())
      stop.span.end = MonotonicNow();
  }
}

void FaultSchedule::Terminate(std::size_t host, TimePoint now) {
  if (!busy_.insert(host).second)
    return;
  Note("stop host " + std::to_string(host));
  stops_.push_back({host, {now, TimePoint::max()}});
  fleet_.Signal(host, SIGTERM);
  // A second signal and a reload change nothing.
  if (random_.Uniform() < kSecondSignalPart) {
    const int signal = random_.Below(2) == 0 ? SIGTERM : SIGHUP;
    Later(now + Between(100, 3000), [this, host, signal] {
      if (busy_.contains(host) && !fleet_.HasEnded(host))
        fleet_.Signal(host, signal);
    });
  }
  AwaitEnd(host, now);
}

void FaultSchedule::AwaitEnd(std::size_t host, TimePoint stopped_at) {
  constexpr Duration kInterval = milliseconds(20);
  const TimePoint now = MonotonicNow();
  const bool is_late = now > stopped_at + kGrace + kAnswerSlack;
  if (!fleet_.HasEnded(host) && !is_late) {
    return Later(now + kInterval,
                 [this, host, stopped_at] { AwaitEnd(host, stopped_at); });
  }
  if (is_late)
    fleet_.Signal(host, SIGKILL);
  const bool has_succeeded = fleet_.Join(host);
  if (is_late) {
    violations_.insert("host " + std::to_string(host) +
                       " did not stop within its grace period");
  } else if (!has_succeeded) {
    violations_.insert("host " + std::to_string(host) + " failed at a stop");
  }
  Later(now + Between(0, 1500), [this, host] { Restart(host); });
}

void FaultSchedule::Pause(std::size_t host, TimePoint now) {
  const Duration span = Between(100, 2500);
  Note("pause host " + std::to_string(host));
  NoteFault(now, span);
  harms_.push_back({host, {now, now + span + kAnswerSlack}});
  busy_.insert(host);
  fleet_.Signal(host, SIGSTOP);
  Later(now + span, [this, host] {
    fleet_.Signal(host, SIGCONT);
    busy_.erase(host);
  });
}

void FaultSchedule::InjectIntoPath(std::size_t number, TimePoint now) {
  const Duration span = Between(200, 3000);
  const ProxyMode mode = kModes[random_.Below(kModes.size())];
  NoteFault(now, span);
  switch (random_.Below(4)) {
    case 0:
      Note("reset the way to server " + std::to_string(number));
      return fleet_.ResetServerPath(number);
    case 1:
      Note("server " + std::to_string(number) + " fails some requests");
      fleet_.SetServerFaults(number, 0.3);
      return Later(now + span,
                   [this, number] { fleet_.SetServerFaults(number, 0.0); });
    default:
      Note("way to server " + std::to_string(number) + " in mode " +
           std::to_string(static_cast<int>(mode)));
      fleet_.SetServerPath(number, mode);
      Later(now + span,
            [this, number] { fleet_.SetServerPath(number, ProxyMode::kPass); });
  }
}

void FaultSchedule::InjectIntoStore(TimePoint now) {
  const Duration span = Between(200, 4000);
  const std::size_t host = random_.Below(fleet_.size());
  const ProxyMode mode = kModes[random_.Below(kModes.size())];
  testing::StoreStandin::Faults faults;
  switch (random_.Below(6)) {
    case 0:
      return ConfigureInSeries(now);
    case 1:
      Note("a failure domain is emptied");
      shortages_.push_back({now, now + span});
      fleet_.Evacuate("west-a", true);
      return Later(now + span, [this] { fleet_.Evacuate("west-a", false); });
    case 2:
      Note("the store is down");
      faults.status = 503;
      break;
    case 3:
      Note("the store loses answers");
      faults.lose_answers = true;
      break;
    case 4:
      Note("the store forgets its history");
      faults.history_lost = true;
      return fleet_.SetStoreFaults(faults);
    default:
      Note("way of host " + std::to_string(host) + " to the store in mode " +
           std::to_string(static_cast<int>(mode)));
      fleet_.SetStorePath(host, mode);
      return Later(now + span, [this, host] {
        fleet_.SetStorePath(host, ProxyMode::kPass);
        fleet_.ResetStorePath(host);
      });
  }
  fleet_.SetStoreFaults(faults);
  Later(now + span, [this] { fleet_.SetStoreFaults({}); });
}

std::optional<TimePoint> FaultSchedule::PlannedStop(std::size_t host,
                                                    TimePoint at) const {
  for (const HostSpan& stop : stops_) {
    if (stop.host == host && stop.span.begin <= at &&
        at <= stop.span.begin + kGrace + std::chrono::seconds(1))
      return stop.span.begin;
  }
  return std::nullopt;
}

bool FaultSchedule::IsCalm(TimePoint begin, TimePoint end) const {
  return std::ranges::none_of(faults_, [&](const Span& span) {
    return span.Overlaps(begin - kStableWindow, end);
  });
}

bool FaultSchedule::IsUp(std::size_t host,
                         TimePoint begin,
                         TimePoint end) const {
  return std::ranges::none_of(stops_, [&](const HostSpan& stop) {
    return stop.host == host && stop.span.Overlaps(begin - kStableWindow, end);
  });
}

std::optional<TimePoint> FaultSchedule::StartedAgain(std::size_t host,
                                                     TimePoint at) const {
  std::optional<TimePoint> last;
  for (const HostSpan& stop : stops_) {
    if (stop.host == host && stop.span.end <= at)
      last = std::max(last.value_or(stop.span.end), stop.span.end);
  }
  return last;
}

bool FaultSchedule::IsHarmed(std::size_t host,
                             TimePoint begin,
                             TimePoint end) const {
  return std::ranges::any_of(harms_, [&](const HostSpan& harm) {
    return harm.host == host && harm.span.Overlaps(begin, end);
  });
}

bool FaultSchedule::IsShort(TimePoint begin, TimePoint end) const {
  return std::ranges::any_of(shortages_, [&](const Span& span) {
    return span.Overlaps(begin - kStableWindow, end);
  });
}

void FaultSchedule::Note(const std::string& text) {
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
}

void FaultSchedule::Later(TimePoint at, std::function<void()> action) {
  later_.emplace(at, std::move(action));
}

void FaultSchedule::RunDue(TimePoint now) {
  while (!later_.empty() && later_.begin()->first <= now) {
    const auto action = std::move(later_.begin()->second);
    later_.erase(later_.begin());
    action();
  }
}

void FaultSchedule::NoteFault(TimePoint begin, Duration span) {
  faults_.push_back({begin, begin + span});
}

Duration FaultSchedule::Between(int least_ms, int most_ms) {
  return milliseconds(least_ms +
                      static_cast<int>(random_.Below(
                          static_cast<std::uint64_t>(most_ms - least_ms))));
}

}  // namespace comfreyvane::soak
