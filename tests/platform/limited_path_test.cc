/// @file
/// Tests hosts that are cut from servers that name request limits.
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "comfreyvane/net/clock.h"
#include "platform/stranded_fleet.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using soak::CutKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kHosts = 2;
constexpr std::size_t kServers = 6;
constexpr std::size_t kCallersPerHost = 4;

/// Time after the cut in which callers must be served again.
constexpr Duration kServedAgain = seconds(5);

std::string ReadText(const std::string& id) {
  return "GET /r/ok HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\n" +
         "Connection: close\r\n\r\n";
}

/// Sends reads to all hosts for some time.
/// @return the number of those that were served, by host.
std::vector<int> Read(StrandedFleet& fleet,
                      Duration span,
                      const std::string& name) {
  std::vector<std::atomic<int>> served(kHosts);
  std::vector<std::thread> callers;
  const TimePoint end = MonotonicNow() + span;
  for (std::size_t caller = 0; caller < kHosts * kCallersPerHost; ++caller) {
    callers.emplace_back([&, caller] {
      const std::size_t host = caller % kHosts;
      for (int i = 0; MonotonicNow() < end; ++i) {
        const std::string id =
            name + "-" + std::to_string(caller) + "-" + std::to_string(i);
        const std::string answer = FetchRaw(fleet.callers(host), ReadText(id));
        served[host] += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(100));
      }
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  return {served.begin(), served.end()};
}

}  // namespace

Test(limited_path,
     hosts_cut_from_servers_with_limits_refuse_for_good,
     .timeout = 60) {
  StrandedFleet fleet(kHosts, kServers);
  fleet.SetLimit("20");
  const std::vector<int> before = Read(fleet, seconds(4), "before");
  for (std::size_t host = 0; host < kHosts; ++host)
    fleet.Cut(host, CutKind::kHang);
  static_cast<void>(Read(fleet, seconds(4), "cut"));
  for (std::size_t host = 0; host < kHosts; ++host)
    fleet.Restore(host);
  static_cast<void>(Read(fleet, seconds(1), "limited"));
  fleet.SetLimit("");
  static_cast<void>(Read(fleet, kServedAgain - seconds(1), "healed"));
  const std::vector<int> after = Read(fleet, seconds(2), "after");
  for (std::size_t host = 0; host < kHosts; ++host) {
    cr_expect(before[host] > 0);
    // Each caller reads about ten times a second.
    cr_expect(after[host] >= 40, "host %zu: %d before, %d after", host,
              before[host], after[host]);
  }
}
