/// @file
/// Tests hosts that reach their callers, the store and the other hosts, but no
/// backend server.
#include <algorithm>
#include <atomic>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "comfreyvane/gateway/carried_codec.h"
#include "comfreyvane/net/clock.h"
#include "platform/stranded_fleet.h"
#include "support/criterion.h"
#include "support/loopback_edge.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using soak::CutKind;

namespace {

constexpr std::size_t kHosts = 5;
constexpr std::size_t kServers = 10;
constexpr std::size_t kCallersPerHost = 4;

/// Bounds of the target: share of the others' success from this time after the
/// cut on.
constexpr Duration kSettled = std::chrono::milliseconds(1500);
constexpr double kMinShareOfOthers = 0.95;
constexpr double kMinShare = 0.98;

std::string RequestText(const std::string& path,
                        const std::string& id,
                        const std::string& behaviour = "ok") {
  const bool reads = path.starts_with("/r/");
  return (reads ? "GET " : "POST ") + path + behaviour +
         " HTTP/1.1\r\nHost: h\r\n" + "X-Request-Id: " + id +
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
      one.answer =
          FetchRaw(fleet_.callers(host),
                   RequestText(one.repeatable ? "/r/" : "/w/", one.id));
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

std::string Fetch(StrandedFleet& fleet,
                  std::size_t host,
                  const std::string& text) {
  return FetchRaw(fleet.callers(host), text);
}

/// Cuts hosts and sends reads until each has noticed.
void CutUntilNoticed(StrandedFleet& fleet,
                     const std::vector<std::size_t>& hosts) {
  Callers callers(fleet);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (const std::size_t host : hosts)
    fleet.Cut(host, CutKind::kHang);
  std::this_thread::sleep_for(kSettled);
}

/// @return a carried request as an origin sends it to a host.
std::string CarriedText(const CarriedMark& mark,
                        const std::string& id,
                        const std::string& secret) {
  namespace http = boost::beast::http;
  http::request<http::string_body> request(http::verb::post, "/w/ok", 11);
  request.set(http::field::host, "h");
  request.set("X-Request-Id", id);
  request.set("X-Deadline-Ms", "1500");
  request.set(http::field::authorization, "Bearer k1");
  request.body() = "hi";
  request.set(kCarriedMarkField, EncodeCarriedMark(mark));
  request.set(kCarriedCodeField, CarriedCodeOf(request, "hi", secret));
  request.set(http::field::connection, "close");
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  return text.str();
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

Test(stranded_hosts, answers_of_any_length_come_through_whole, .timeout = 60) {
  StrandedFleet fleet(kHosts, kServers);
  CutUntilNoticed(fleet, {0, 1});
  const std::string large =
      Fetch(fleet, 0, RequestText("/r/", "large", "large"));
  cr_expect(large.starts_with("HTTP/1.1 200"));
  cr_expect(std::ranges::count(large, 'x') >=
            static_cast<std::ptrdiff_t>(ServerStandin::kLargeBytes));
  cr_expect(large.ends_with("\r\n0\r\n\r\n") || large.ends_with("x"));
  cr_expect(large.find(kCarriedVerdictField) == std::string::npos);
  const std::string failed =
      Fetch(fleet, 0, RequestText("/w/", "failed", "error"));
  cr_expect(failed.starts_with("HTTP/1.1 500"), "%s", failed.c_str());
  cr_expect(failed.find("X-Server-Seal: seal") != std::string::npos);
  const std::string broken =
      Fetch(fleet, 0, RequestText("/w/", "broken", "break"));
  cr_expect(broken.starts_with("HTTP/1.1 502"), "%s", broken.c_str());
  cr_expect(fleet.RunsOf("broken") == 1);
}

Test(stranded_hosts, bodies_stay_in_their_home_regions, .timeout = 60) {
  StrandedFleet fleet(kHosts, kServers);
  CutUntilNoticed(fleet, {0, 1, 2});
  const int before = fleet.CarriedBy(3) + fleet.CarriedBy(4);
  const TimePoint sent = MonotonicNow();
  const std::string answer = Fetch(fleet, 0, RequestText("/h/", "homed"));
  const Duration took = MonotonicNow() - sent;
  cr_expect(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
  cr_expect(answer.find("no-path") != std::string::npos, "%s", answer.c_str());
  cr_expect(answer.find("Retry-After") != std::string::npos);
  cr_expect(took < std::chrono::milliseconds(200));
  cr_expect(fleet.RunsOf("homed") == 0);
  cr_expect(fleet.CarriedBy(3) + fleet.CarriedBy(4) == before);
  const std::string free = Fetch(fleet, 0, RequestText("/w/", "free"));
  cr_expect(free.starts_with("HTTP/1.1 200"), "%s", free.c_str());
}

Test(stranded_hosts,
     requests_are_refused_at_once_if_no_host_has_a_path,
     .timeout = 60) {
  StrandedFleet fleet(kHosts, kServers);
  CutUntilNoticed(fleet, {0, 1, 2, 3, 4});
  for (std::size_t host = 0; host < kHosts; ++host) {
    const std::string id = "none-" + std::to_string(host);
    const TimePoint sent = MonotonicNow();
    const std::string answer = Fetch(fleet, host, RequestText("/w/", id));
    const Duration took = MonotonicNow() - sent;
    cr_expect(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    cr_expect(answer.find("Retry-After") != std::string::npos);
    cr_expect(took < std::chrono::milliseconds(200));
    cr_expect(fleet.RunsOf(id) == 0);
  }
}

Test(stranded_hosts, a_mark_is_good_once_and_for_one_run, .timeout = 60) {
  StrandedFleet fleet(kHosts, kServers);
  CutUntilNoticed(fleet, {0});
  const std::string secret = fleet.Secret();
  cr_assert(!secret.empty());
  const auto send = [&](const CarriedMark& mark, const std::string& id,
                        const std::string& key) {
    return FetchRaw(
        {asio::ip::address_v4::loopback(), fleet.settings(2).peers.port},
        CarriedText(mark, id, key));
  };
  // Incarnations are the hosts' numbers, from 1 on.
  const CarriedMark mark{"edge-0", 1,          1'000'000,          "edge-2",
                         3,        "region-0", ServiceId::Of("s"), 0};
  cr_expect(!send(mark, "forged", "guess").starts_with("HTTP/1.1 200"));
  cr_expect(send(mark, "first", secret).starts_with("HTTP/1.1 200"));
  cr_expect(!send(mark, "replayed", secret).starts_with("HTTP/1.1 200"));
  CarriedMark old = mark;
  old.sequence += 1;
  old.carrier_incarnation = 2;
  cr_expect(!send(old, "old-carrier", secret).starts_with("HTTP/1.1 200"));
  old = mark;
  old.sequence += 2;
  old.origin_incarnation = 9;
  cr_expect(!send(old, "old-origin", secret).starts_with("HTTP/1.1 200"));
  cr_expect(fleet.RunsOf("first") == 1);
  for (const char* id : {"forged", "replayed", "old-carrier", "old-origin"})
    cr_expect(fleet.RunsOf(id) == 0, "%s", id);
}

Test(stranded_hosts, a_request_is_carried_over_one_hop_only, .timeout = 60) {
  StrandedFleet fleet(kHosts, kServers);
  CutUntilNoticed(fleet, {0, 1});
  const CarriedMark mark{"edge-0", 1,          1'000'000,          "edge-1",
                         2,        "region-0", ServiceId::Of("s"), 0};
  const std::string answer =
      FetchRaw({asio::ip::address_v4::loopback(), fleet.settings(1).peers.port},
               CarriedText(mark, "hop", fleet.Secret()));
  cr_expect(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
  cr_expect(answer.find(kCarriedVerdictField) != std::string::npos);
  cr_expect(fleet.RunsOf("hop") == 0);
}
