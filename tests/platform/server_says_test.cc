/// @file
/// Tests what a host does upon fields with which backend servers steer it.
#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

#include "comfreyvane/net/clock.h"
#include "platform/deployment.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Sends reads one after the other.
void Read(Deployment& deployment, Duration span, const std::string& name) {
  const TimePoint end = MonotonicNow() + span;
  for (int i = 0; MonotonicNow() < end; ++i) {
    static_cast<void>(
        deployment.Request("/r/ok", name + "-" + std::to_string(i)));
  }
}

/// @return requests that arrived at a server from one time to another.
std::ptrdiff_t ArrivalsWithin(Deployment& deployment,
                              const ServerStandin& server,
                              TimePoint from,
                              TimePoint to) {
  std::ptrdiff_t count = 0;
  deployment.OnStandins([&] {
    count = std::ranges::count_if(
        server.arrivals, [&](TimePoint at) { return at >= from && at < to; });
  });
  return count;
}

}  // namespace

Test(server_leaving,
     requests_reach_a_server_that_says_it_leaves,
     .timeout = 60) {
  constexpr Duration kDrain = milliseconds(2500);
  Deployment deployment;
  deployment.OnStandins([&] { deployment.first.leaving = true; });
  Read(deployment, seconds(1), "before");
  const TimePoint drained = MonotonicNow() + kDrain;
  Read(deployment, kDrain + seconds(1), "after");
  const auto late =
      ArrivalsWithin(deployment, deployment.first, drained, MonotonicNow());
  cr_expect(late == 0, "%td requests later than 2.5 s", late);
}

Test(server_wait,
     requests_reach_a_server_that_asked_to_be_left_alone,
     .timeout = 60) {
  Deployment deployment;
  deployment.OnStandins([&] { deployment.first.wait = "4"; });
  const TimePoint began = MonotonicNow();
  Read(deployment, seconds(4), "read");
  TimePoint asked{};
  deployment.OnStandins([&] {
    const auto& arrivals = deployment.first.arrivals;
    asked = *std::ranges::find_if(arrivals,
                                  [&](TimePoint at) { return at >= began; });
  });
  const auto early =
      ArrivalsWithin(deployment, deployment.first, asked + milliseconds(500),
                     asked + milliseconds(3900));
  cr_expect(early <= 2, "%td requests meanwhile", early);
}
