/// @file
/// Random faults of the soak.
#ifndef TESTS_SOAK_FAULT_SCHEDULE_H_
#define TESTS_SOAK_FAULT_SCHEDULE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/base/time.h"
#include "soak/soak_fleet.h"

namespace comfreyvane::soak {

/// Injects faults into a fleet, in series and overlapping, by a seed.
class FaultSchedule {
 public:
  /// What is injected is told by the fleet's options.
  explicit FaultSchedule(SoakFleet& fleet);

  /// Injects faults until a time, then ends those that last.
  void Run(TimePoint end);

  /// @return what went wrong with processes that were told to stop.
  [[nodiscard]] const std::set<std::string>& violations() const {
    return violations_;
  }

  /// @return when a host got the SIGTERM of the planned stop that a moment lies
  ///     in, until a second after its grace; nothing if it lies in none.
  [[nodiscard]] std::optional<TimePoint> PlannedStop(std::size_t host,
                                                     TimePoint at) const;

  /// @return whether there was only planned work, from three seconds before a
  ///     span to its end.
  [[nodiscard]] bool IsCalm(TimePoint begin, TimePoint end) const;

  /// @return whether a host ran all the while and was not told to stop.
  [[nodiscard]] bool IsUp(std::size_t host,
                          TimePoint begin,
                          TimePoint end) const;

  /// @return when a host was last started again before a moment; nothing if it
  ///     was not.
  [[nodiscard]] std::optional<TimePoint> StartedAgain(std::size_t host,
                                                      TimePoint at) const;

  /// @return whether a host's process was killed or paused within a span.
  [[nodiscard]] bool IsHarmed(std::size_t host,
                              TimePoint begin,
                              TimePoint end) const;

  /// @return whether entries of servers or failure domains changed in a way
  ///     that leaves less room for requests.
  [[nodiscard]] bool IsShort(TimePoint begin, TimePoint end) const;

 private:
  struct Span {
    TimePoint begin{};
    TimePoint end{};

    [[nodiscard]] bool Overlaps(TimePoint from, TimePoint to) const {
      return begin <= to && from <= end;
    }
  };
  struct HostSpan {
    std::size_t host = 0;
    Span span;
  };

  void Inject(TimePoint now);
  /// Cuts some hosts, often most, from all servers.
  void CutFromServers(TimePoint now);
  void InjectIntoHost(std::size_t host, TimePoint now);
  void InjectIntoPath(std::size_t number, TimePoint now);
  void InjectIntoStore(TimePoint now);
  void InjectOddly(TimePoint now);
  void InjectPlanned(TimePoint now);
  /// Stops all hosts in turn, some of them at once, or one.
  void TerminateInTurn(TimePoint now);
  void TerminateSome(TimePoint now);
  /// Changes regions, often several times within a second.
  void ConfigureInSeries(TimePoint now);
  void Configure();
  /// Ends servers and starts them under new names, one or several.
  void Release(TimePoint now);
  void ReleaseServer(std::size_t server, TimePoint now);
  void LimitServers(TimePoint now);
  /// Lets servers run few requests at once, so that the others wait there.
  void SlowServers(TimePoint now);
  [[nodiscard]] std::vector<std::string> DrawRegions();
  void Kill(std::size_t host, TimePoint now);
  void Terminate(std::size_t host, TimePoint now);
  /// Waits for the end of a host that was told to stop, and starts it again.
  void AwaitEnd(std::size_t host, TimePoint stopped_at);
  void Restart(std::size_t host);
  void Pause(std::size_t host, TimePoint now);
  /// Prints what is injected.
  static void Note(const std::string& text);
  /// Ends a fault later.
  void Later(TimePoint at, std::function<void()> action);
  void RunDue(TimePoint now);
  /// Notes a fault that is no planned work.
  void NoteFault(TimePoint begin, Duration span);
  [[nodiscard]] Duration Between(int least_ms, int most_ms);

  SoakFleet& fleet_;
  RandomSource random_;
  /// Of its own, so that the other faults of a seed stay the same.
  RandomSource cuts_random_;
  TimePoint next_cut_{};
  std::multimap<TimePoint, std::function<void()>> later_;
  std::set<std::size_t> busy_;          ///< Hosts that are down or paused.
  std::set<std::size_t> busy_servers_;  ///< Servers that leave or are down.
  std::vector<Span> faults_;
  std::vector<Span> shortages_;
  std::vector<HostSpan> stops_;  ///< From SIGTERM until the next start.
  std::vector<HostSpan> harms_;  ///< Hosts that are killed or paused.
  std::set<std::string> violations_;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_FAULT_SCHEDULE_H_
