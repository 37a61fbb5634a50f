/// @file
/// Checks what callers and backend servers of the soak have seen.
#ifndef TESTS_SOAK_RULE_CHECKS_H_
#define TESTS_SOAK_RULE_CHECKS_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "soak/fault_schedule.h"
#include "soak/run_record.h"
#include "soak/soak_client.h"

namespace comfreyvane::soak {

/// Checks what callers and backend servers of the soak have seen, after all has
/// ended. Bounds in time are checked only for spans without faults; planned
/// work is none.
class RuleChecks {
 public:
  /// @param record is not changed any more.
  RuleChecks(const FaultSchedule& schedule, const RunRecord& record)
      : schedule_(schedule), record_(record) {}

  /// @param rate of the workspace with a limit, in requests/s.
  void CheckAll(const std::vector<RequestEnd>& ends, double rate, double burst);

  [[nodiscard]] const std::set<std::string>& violations() const {
    return violations_;
  }
  /// @return runs outside their regions while the system could not know better.
  [[nodiscard]] std::size_t excused_runs() const { return excused_runs_; }

 private:
  using EndsById = std::map<std::string, const RequestEnd*>;

  void CheckEnd(const RequestEnd& end);
  void CheckRegions(const RequestEnd& end, const std::vector<Run>& runs);
  /// Checks that requests at hosts in good order are served, in spans of 2 s.
  void CheckServed(const std::vector<RequestEnd>& ends);
  /// Checks that no kept connection is closed behind a request that ran.
  void CheckCuts(const std::vector<RequestEnd>& ends);
  void CheckLateArrivals(const std::vector<RequestEnd>& ends);
  void CheckServerLimits(const std::vector<RequestEnd>& ends);
  /// @return whether a request counts against a server's limit: it came some
  ///     time after the first answer that named it, or from a host that the
  ///     server had told since the host's last start.
  [[nodiscard]] bool IsBound(const LimitedRequest& arrival,
                             const LimitedSpan& span,
                             const EndsById& ends) const;
  /// Prints which hosts sent requests, and for how long they had run.
  void PrintSenders(const std::vector<LimitedRequest>& arrivals,
                    const EndsById& ends) const;
  void CheckRate(double rate, double burst);

  /// @return whether a request was read and ends without its answer for the
  ///     sake of a planned stop.
  [[nodiscard]] bool IsLost(const RequestEnd& end) const;
  /// @return whether time was up for a request.
  [[nodiscard]] bool IsOverdue(const RequestEnd& end) const;
  [[nodiscard]] const std::vector<Run>& RunsOf(const std::string& id) const;
  /// @return configurations that may be in force.
  [[nodiscard]] std::vector<SoakConfiguration> InForce(TimePoint sent,
                                                       TimePoint until) const;
  void Fail(const std::string& id, const std::string& what);

  const FaultSchedule& schedule_;
  const RunRecord& record_;
  std::set<std::string> violations_;
  std::size_t excused_runs_ = 0;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_RULE_CHECKS_H_
