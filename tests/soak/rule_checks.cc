#include "soak/rule_checks.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

#include "soak/soak_bounds.h"

namespace comfreyvane::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMostAttempts = 2;
constexpr unsigned kOk = 200;
constexpr unsigned kRefusedByRate = 429;

/// Bound of a workspace's limit: the window, and what may run beyond it.
constexpr Duration kWindow = seconds(5);
constexpr double kOverage = 0.1;
constexpr double kSlack = 20.0;

/// Bound of the limit that a server names: the time from the first answer that
/// names it until all hosts must keep it, the time in which a host reads such
/// an answer, the window, and what may come beyond the limit.
constexpr Duration kLimitSettling = seconds(3);
constexpr Duration kToldSlack = milliseconds(200);
constexpr Duration kLimitWindow = seconds(4);
constexpr double kLimitTolerance = 1.5;
constexpr double kLimitSlack = 5.0;

/// Bound of refusals: of requests in a window, two thirds are served.
constexpr Duration kServedWindow = seconds(2);
constexpr std::size_t kLeastAsked = 12;
constexpr double kLeastServed = 2.0 / 3.0;

constexpr std::size_t kMostPrinted = 60;

/// Cuts of requests that ran, outside of planned stops.
constexpr std::size_t kMostCuts = 3;
/// Work that was sent until this time after SIGTERM may be cut late in the
/// grace.
constexpr Duration kLongWork = seconds(3);

bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == kRefusedByRate ||
         status == 503;
}

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/// @return the largest number of events within a window.
std::size_t FullestWindow(std::vector<TimePoint> times, Duration window) {
  std::ranges::sort(times);
  std::size_t worst = 0;
  for (std::size_t begin = 0, end = 0; end < times.size(); ++end) {
    while (times[end] - times[begin] > window)
      ++begin;
    worst = std::max(worst, end - begin + 1);
  }
  return worst;
}

}  // namespace

void RuleChecks::CheckAll(const std::vector<RequestEnd>& ends,
                          double rate,
                          double burst) {
  std::set<std::string> known;
  for (const RequestEnd& end : ends) {
    known.insert(end.request.id);
    CheckEnd(end);
  }
  for (const auto& [id, runs] : record_.runs) {
    if (!known.contains(id) && !id.starts_with("after-"))
      Fail(id, "ran, though no caller sent it");
  }
  CheckServed(ends);
  CheckCuts(ends);
  CheckLateArrivals(ends);
  CheckServerLimits(ends);
  CheckRate(rate, burst);
}

void RuleChecks::CheckEnd(const RequestEnd& end) {
  const std::string& id = end.request.id;
  const std::vector<Run>& runs = RunsOf(id);
  const std::string count = std::to_string(runs.size());
  if (!end.is_intact)
    Fail(id, "the answer is not whole or another's");
  if (!end.foreign_bytes.empty()) {
    Fail(id, end.request.Summary() + ", status " + std::to_string(end.status) +
                 ": bytes that are no answer came before or with its own: " +
                 end.foreign_bytes.substr(0, kMostPrinted));
  }
  if (runs.size() > (end.request.is_idempotent() ? kMostAttempts : 1))
    Fail(id, "ran " + count + " times");
  if (PromisesNotRun(end.status) && !runs.empty())
    Fail(id, "refused with " + std::to_string(end.status) + " and has run");
  if (end.is_unanswered && !end.is_pipelined &&
      !schedule_.IsHarmed(end.host, end.sent, end.ended))
    Fail(id, "not answered half a second after its deadline");
  if (IsLost(end)) {
    Fail(id, "lost at a planned stop of host " + std::to_string(end.host) +
                 ", status " + std::to_string(end.status) + ", ran " + count +
                 " times");
  }
  CheckRegions(end, runs);
}

bool RuleChecks::IsOverdue(const RequestEnd& end) const {
  Duration longest = end.request.deadline;
  for (const SoakConfiguration& one : InForce(end.sent, end.ended))
    longest = std::min<Duration>(longest, milliseconds(one.timeout_ms));
  return end.ended - end.sent >= longest;
}

bool RuleChecks::IsLost(const RequestEnd& end) const {
  const bool has_run = !RunsOf(end.request.id).empty();
  const bool is_cut = end.status == 0;
  const bool is_given_up =
      end.is_own_answer && has_run && (end.status == 502 || end.status == 504);
  const auto stopped_at = schedule_.PlannedStop(end.host, end.ended);
  if (!stopped_at || !end.was_sent || end.is_abandoned || end.is_unanswered ||
      (!is_cut && !is_given_up) || !schedule_.IsCalm(end.sent, end.ended) ||
      record_.spoilt.contains(end.request.id) || IsOverdue(end))
    return false;
  const bool is_read =
      has_run || (end.ended - end.sent > kLossSlack && !end.is_pipelined);
  const bool is_long_work = has_run && end.sent <= *stopped_at + kLongWork &&
                            end.ended >= *stopped_at + kGrace * 5 / 6;
  return is_read && !is_long_work;
}

void RuleChecks::CheckRegions(const RequestEnd& end,
                              const std::vector<Run>& runs) {
  if (!end.request.is_bound())
    return;
  for (const Run& run : runs) {
    const auto in_force = InForce(end.sent, run.at);
    if (std::ranges::any_of(in_force, [&](const SoakConfiguration& one) {
          return one.Allows(run.region, end.request.is_route_bound,
                            end.request.is_workspace_bound);
        }))
      continue;
    if (!schedule_.IsCalm(end.sent, run.at) ||
        !schedule_.IsUp(end.host, end.sent, run.at)) {
      ++excused_runs_;
      continue;
    }
    Fail(end.request.id, "sent to host " + std::to_string(end.host) +
                             ", ran outside its regions, in " + run.region);
  }
}

void RuleChecks::CheckServed(const std::vector<RequestEnd>& ends) {
  struct Count {
    std::size_t asked = 0;
    std::size_t served = 0;
  };
  std::map<std::pair<std::size_t, long>, Count> windows;
  for (const RequestEnd& end : ends) {
    if (end.request.is_bound() || end.is_abandoned || end.is_behind_close ||
        end.status == kRefusedByRate ||
        !schedule_.IsCalm(end.sent - kStableWindow, end.ended) ||
        schedule_.IsShort(end.sent, end.ended) ||
        !schedule_.IsUp(end.host, end.sent, end.ended))
      continue;
    Count& count =
        windows[{end.host, end.sent.time_since_epoch() / kServedWindow}];
    ++count.asked;
    count.served += end.status == kOk || !end.is_own_answer ? 1 : 0;
  }
  for (const auto& [place, count] : windows) {
    if (count.asked >= kLeastAsked &&
        static_cast<double>(count.served) <
            kLeastServed * static_cast<double>(count.asked)) {
      Fail("host " + std::to_string(place.first),
           "served " + std::to_string(count.served) + " of " +
               std::to_string(count.asked) + " though servers are well");
    }
  }
}

void RuleChecks::CheckCuts(const std::vector<RequestEnd>& ends) {
  const auto cuts = std::ranges::count_if(ends, [&](const RequestEnd& end) {
    return end.status == 0 && end.was_sent && !end.is_abandoned &&
           !end.is_unanswered && !RunsOf(end.request.id).empty() &&
           schedule_.IsCalm(end.sent, end.ended) && !IsOverdue(end) &&
           schedule_.IsUp(end.host, end.sent, end.ended) &&
           !record_.spoilt.contains(end.request.id);
  });
  if (static_cast<std::size_t>(cuts) > kMostCuts)
    Fail("hosts that run", "cut " + std::to_string(cuts) + " running requests");
}

void RuleChecks::CheckLateArrivals(const std::vector<RequestEnd>& ends) {
  for (const LateArrival& late : record_.late_arrivals) {
    const auto sent = std::ranges::find_if(
        ends, [&](const RequestEnd& end) { return end.request.id == late.id; });
    if (sent == ends.end() || sent->sent < late.left_at + kDrainBound ||
        !schedule_.IsCalm(late.left_at, late.at) ||
        !schedule_.IsUp(sent->host, sent->sent, late.at))
      continue;
    Fail(late.id, "reached " + late.server + ", which had left");
  }
}

void RuleChecks::CheckServerLimits(const std::vector<RequestEnd>& ends) {
  const bool is_unused = std::ranges::all_of(
      record_.limited_spans,
      [](const LimitedSpan& span) { return span.arrivals.empty(); });
  if (!record_.limited_spans.empty() && is_unused)
    Fail("the servers with a limit", "got no request");
  EndsById by_id;
  for (const RequestEnd& end : ends)
    by_id.emplace(end.request.id, &end);
  for (const LimitedSpan& span : record_.limited_spans) {
    std::vector<LimitedRequest> arrivals = span.arrivals;
    std::erase_if(arrivals, [&](const LimitedRequest& arrival) {
      return !IsBound(arrival, span, by_id);
    });
    std::vector<TimePoint> times;
    for (const LimitedRequest& arrival : arrivals)
      times.push_back(arrival.at);
    const auto most = static_cast<std::size_t>(
        kLimitTolerance * span.limit * Seconds(kLimitWindow) + kLimitSlack);
    const std::size_t worst = FullestWindow(times, kLimitWindow);
    std::printf("requests in the fullest window of a limit: %zu of %zu\n",
                worst, most);
    if (worst > most) {
      Fail("a server's limit of " + std::to_string(span.limit),
           "was exceeded: " + std::to_string(worst) + " of " +
               std::to_string(most));
      PrintSenders(arrivals, by_id);
    }
  }
}

bool RuleChecks::IsBound(const LimitedRequest& arrival,
                         const LimitedSpan& span,
                         const EndsById& ends) const {
  if (span.answers.empty())
    return false;
  if (arrival.at >= span.answers.front().at + kLimitSettling)
    return true;
  const auto end = ends.find(arrival.id);
  if (end == ends.end())
    return false;
  const std::size_t host = end->second->host;
  const TimePoint start =
      schedule_.StartedAgain(host, arrival.at).value_or(TimePoint{});
  return std::ranges::any_of(span.answers, [&](const LimitedRequest& answer) {
    const auto told = ends.find(answer.id);
    return told != ends.end() && told->second->host == host &&
           answer.at >= start && answer.at + kToldSlack <= arrival.at &&
           schedule_.IsCalm(answer.at, arrival.at);
  });
}

void RuleChecks::PrintSenders(const std::vector<LimitedRequest>& arrivals,
                              const EndsById& ends) const {
  for (const LimitedRequest& arrival : arrivals) {
    const auto end = ends.find(arrival.id);
    if (end == ends.end())
      continue;
    const std::size_t host = end->second->host;
    const auto start = schedule_.StartedAgain(host, arrival.at);
    const std::string age =
        start ? ", started " + std::to_string(Seconds(arrival.at - *start)) +
                    " s before"
              : "";
    std::printf("  %.3f s: %s of host %zu%s\n",
                Seconds(arrival.at - arrivals.front().at), arrival.id.c_str(),
                host, age.c_str());
  }
}

void RuleChecks::CheckRate(double rate, double burst) {
  const auto most = static_cast<std::size_t>(
      (rate * Seconds(kWindow) + burst) * (1.0 + kOverage) + kSlack);
  const std::size_t worst = FullestWindow(record_.limited_runs, kWindow);
  std::printf("runs in the fullest window: %zu of %zu\n", worst, most);
  if (worst > most)
    Fail("the workspace's limit", "was exceeded: " + std::to_string(worst));
}

const std::vector<Run>& RuleChecks::RunsOf(const std::string& id) const {
  static const std::vector<Run> kNone;
  const auto found = record_.runs.find(id);
  return found == record_.runs.end() ? kNone : found->second;
}

std::vector<SoakConfiguration> RuleChecks::InForce(TimePoint sent,
                                                   TimePoint until) const {
  std::vector<SoakConfiguration> found;
  for (const AcceptedConfiguration& one : record_.configurations) {
    if (one.at <= sent - kConfigurationBound)
      found.clear();
    if (one.at <= until)
      found.push_back(one.configuration);
  }
  return found;
}

void RuleChecks::Fail(const std::string& id, const std::string& what) {
  violations_.insert(id + ": " + what);
}

}  // namespace comfreyvane::soak
