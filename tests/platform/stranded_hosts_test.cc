/// @file
/// Tests hosts that reach their callers, the store and the other hosts, but no
/// backend server.
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "comfreyvane/net/clock.h"
#include "platform/stranded_fleet.h"
#include "support/criterion.h"
#include "support/loopback_edge.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;

namespace {

constexpr std::size_t kHosts = 5;
constexpr std::size_t kServers = 10;
constexpr std::size_t kCallersPerHost = 4;

/// Bounds of the target: share of the others' success from this time after the
/// cut on.
constexpr Duration kSettled = std::chrono::milliseconds(1500);
constexpr double kMinShareOfOthers = 0.95;
constexpr double kMinShare = 0.98;

std::string RequestText(const std::string& path, const std::string& id) {
  const bool reads = path.starts_with("/r/");
  return (reads ? "GET " : "POST ") + path + "ok HTTP/1.1\r\nHost: h\r\n" +
         "X-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\n" +
         "Connection: close\r\n" +
         (reads ? "\r\n" : "Content-Length: 2\r\n\r\nhi");
}

struct Try {
  std::size_t host = 0;
  std::string id;
  bool repeatable = false;
  TimePoint sent{};
  std::string answer{};

  [[nodiscard]] bool IsServed() const {
    return answer.starts_with("HTTP/1.1 200");
  }
  [[nodiscard]] bool PromisesNotRun() const {
    return answer.starts_with("HTTP/1.1 503") ||
           answer.starts_with("HTTP/1.1 429");
  }
};

/// Callers that send to all hosts until they are stopped.
class Callers {
 public:
  explicit Callers(StrandedFleet& fleet) : fleet_(fleet) {
    for (std::size_t host = 0; host < fleet.size(); ++host) {
      for (std::size_t caller = 0; caller < kCallersPerHost; ++caller)
        threads_.emplace_back([this, host, caller] { Call(host, caller); });
    }
  }
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  std::vector<Try> Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_)
      thread.join();
    threads_.clear();
    return tries_;
  }

 private:
  void Call(std::size_t host, std::size_t caller) {
    const std::string name =
        std::to_string(host) + "-" + std::to_string(caller) + "-";
    for (int i = 0; !stopped_; ++i) {
      Try one{.host = host,
              .id = name + std::to_string(i),
              .repeatable = i % 2 == 0,
              .sent = MonotonicNow()};
      RawClient client(fleet_.callers(host));
      client.Send(RequestText(one.repeatable ? "/r/" : "/w/", one.id));
      one.answer = client.ReceiveAll();
      {
        const std::lock_guard lock(mutex_);
        tries_.push_back(one);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  StrandedFleet& fleet_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::vector<Try> tries_;
  std::vector<std::thread> threads_;
};

struct Served {
  double served = 0.0;
  double tries = 0.0;

  void Add(const Try& one) {
    tries += 1.0;
    served += one.IsServed() ? 1.0 : 0.0;
  }
  [[nodiscard]] double share() const { return served / tries; }
};

void ExpectNothingRanTwice(StrandedFleet& fleet,
                           const std::vector<Try>& tries) {
  for (const Try& one : tries) {
    const int runs = fleet.RunsOf(one.id);
    cr_expect(one.repeatable || runs <= 1, "%s ran %d times", one.id.c_str(),
              runs);
    cr_expect(!one.PromisesNotRun() || runs == 0, "%s ran, and was refused",
              one.id.c_str());
  }
  cr_expect(!fleet.ServersSawKey());
}

/// Cuts three of five hosts from all servers for some seconds.
void CutMostHosts(CutKind kind) {
  StrandedFleet fleet(kHosts, kServers);
  const std::vector<std::size_t> cut = {0, 1, 3};
  Callers callers(fleet);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  for (const std::size_t host : cut)
    fleet.Cut(host, kind);
  const TimePoint began = MonotonicNow();
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const TimePoint ended = MonotonicNow();
  for (const std::size_t host : cut)
    fleet.Restore(host);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const std::vector<Try> tries = callers.Stop();

  Served there;
  Served elsewhere;
  Served afterwards;
  for (const Try& one : tries) {
    const bool is_cut = std::ranges::find(cut, one.host) != cut.end();
    if (one.sent >= began + kSettled && one.sent < ended)
      (is_cut ? there : elsewhere).Add(one);
    if (one.sent >= ended + kSettled)
      afterwards.Add(one);
  }
  cr_expect(there.share() >= kMinShareOfOthers * elsewhere.share(),
            "%.3f of %.0f at the hosts that are cut", there.share(),
            there.tries);
  cr_expect(elsewhere.share() >= kMinShare, "%.3f of %.0f at the others",
            elsewhere.share(), elsewhere.tries);
  cr_expect(afterwards.share() >= kMinShare, "%.3f of %.0f afterwards",
            afterwards.share(), afterwards.tries);
  ExpectNothingRanTwice(fleet, tries);
}

}  // namespace

Test(stranded_hosts, callers_are_served_while_links_hang, .timeout = 60) {
  CutMostHosts(CutKind::kHang);
}

Test(stranded_hosts, callers_are_served_while_links_are_reset, .timeout = 60) {
  CutMostHosts(CutKind::kReset);
}

Test(stranded_hosts,
     callers_are_served_while_new_links_are_refused,
     .timeout = 60) {
  CutMostHosts(CutKind::kRefuse);
}
