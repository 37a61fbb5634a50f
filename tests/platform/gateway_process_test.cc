/// @file
/// The gateway between a caller, a backend server and the store, on loopback.
#include "comfreyvane/gateway/gateway_process.h"

#include <unistd.h>

#include <functional>
#include <future>
#include <memory>
#include <thread>

#include "platform/gateway_platform.h"
#include "platform/server_standin.h"
#include "platform/store_standin.h"
#include "support/criterion.h"
#include "support/loopback_edge.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;

namespace {

using Gateway = GatewayProcess<platform::GatewayPlatform>;

const char* const kConfiguration =
    R"({"Version":"00000001","Resources":[)"
    R"({"ResourceKind":"Routes","Metadata":{"Name":"reads"},"Spec":{)"
    R"("Host":"h","Prefix":"/r/","Kind":"idempotent","TimeoutMs":2000,)"
    R"("TargetLatencyMs":500,"Priority":1,"Service":"s","MaxAttempts":2}},)"
    R"({"ResourceKind":"Routes","Metadata":{"Name":"writes"},"Spec":{)"
    R"("Host":"h","Prefix":"/w/","Kind":"non_idempotent","TimeoutMs":2000,)"
    R"("TargetLatencyMs":500,"Priority":1,"Service":"s","MaxAttempts":2}},)"
    R"({"ResourceKind":"Services","Metadata":{"Name":"s"},"Spec":{)"
    R"("HealthPath":"/health","MaxConnections":330,"ColdStartS":3.0,)"
    R"("ColdPerS":8.9}},{"ResourceKind":"Tenants","Metadata":{"Name":"kandy"},)"
    R"("Spec":{"ApiKeys":["k1"],"RatePerS":1000,"Burst":1000}}]})";

/// A free port for tests that run side by side.
std::uint16_t FreePort() {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

/// A stand-in behind a listener on loopback.
template <typename Handler>
struct Served {
  Served(asio::io_context& io, TimeoutSweeper& sweeper, Handler& handler)
      : listener(io,
                 {asio::ip::address_v4::loopback(), 0},
                 PortSharing::kExclusive,
                 nullptr,
                 sweeper,
                 HttpLimits{},
                 handler) {
    listener.Start();
  }
  CallerListener<Handler> listener;
};

/// Two backend servers, a store and a gateway, each used on its own thread.
class Deployment {
 public:
  Deployment()
      : sweeper_(io_),
        store(io_),
        first(io_, "i-1"),
        second(io_, "i-2"),
        store_(io_, sweeper_, store),
        first_(io_, sweeper_, first),
        second_(io_, sweeper_, second) {
    sweeper_.Start();
    store.Put("op", "config", kConfiguration);
    store.Put("servers", "i-1", Entry(first_.listener.local_endpoint()));
    store.Put("servers", "i-2", Entry(second_.listener.local_endpoint()));
    store.Put("servers", "foreign", "{\"Address\":7}");
    settings_.name = "edge-1";
    settings_.failure_domain = "west-a";
    settings_.region = "west";
    settings_.domains = {{"west-a", "west"}};
    for (Endpoint* endpoint : {&settings_.callers, &settings_.readiness,
                               &settings_.lookups, &settings_.peers})
      *endpoint = {"127.0.0.1", FreePort()};
    settings_.platform = {"127.0.0.1", store_.listener.local_endpoint().port()};
    gateway_ = std::make_unique<Gateway>(settings_, "/dev/null", 1, output_);
    standins_thread_ = std::thread([this] { io_.run(); });
    gateway_thread_ = std::thread([this] { gateway_->Run(); });
    WaitUntilServing();
  }
  ~Deployment() {
    gateway_->Stop();
    gateway_thread_.join();
    io_.stop();
    standins_thread_.join();
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  [[nodiscard]] std::string Ask(const Endpoint& endpoint,
                                const std::string& text) {
    RawClient client(
        tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port));
    client.Send(text);
    return client.ReceiveAll();
  }

  [[nodiscard]] std::string Request(const std::string& path,
                                    const std::string& id,
                                    const std::string& key = "k1") {
    const bool writes = path.starts_with("/w/");
    return Ask(settings_.callers,
               (writes ? "POST " : "GET ") + path +
                   " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
                   "\r\nX-Deadline-Ms: 1500\r\nX-Tenant: forged\r\n" +
                   "Authorization: Bearer " + key +
                   "\r\nConnection: close\r\n" +
                   (writes ? "Content-Length: 2\r\n\r\nhi" : "\r\n"));
  }

  /// Runs a function on the stand-ins' thread.
  void OnStandins(const std::function<void()>& change) {
    std::promise<void> done;
    asio::post(io_, [&] {
      change();
      done.set_value();
    });
    done.get_future().wait();
  }

  [[nodiscard]] const GatewaySettings& settings() const { return settings_; }

 private:
  [[nodiscard]] static std::string Entry(const tcp::endpoint& endpoint) {
    return R"({"Address":"127.0.0.1:)" + std::to_string(endpoint.port()) +
           R"(","Info":{"Service":"s","Version":"v1","Zone":"west-a",)"
           R"("Slots":8},"Status":{"State":"ready","Seq":1,)"
           R"("ColdRemainingMs":0},"born":1})";
  }

  void WaitUntilServing() {
    constexpr int kMostTries = 500;
    for (int i = 0; i < kMostTries; ++i) {
      const std::string answer = Request("/r/ok", "probe" + std::to_string(i));
      if (answer.starts_with("HTTP/1.1 200"))
        return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    cr_assert(false, "the gateway does not serve");
  }

  asio::io_context io_{1};
  TimeoutSweeper sweeper_;

 public:
  StoreStandin store;
  ServerStandin first;
  ServerStandin second;

 private:
  Served<StoreStandin> store_;
  Served<ServerStandin> first_;
  Served<ServerStandin> second_;
  GatewaySettings settings_;
  BoundedOutput output_{STDERR_FILENO, 1024};
  std::unique_ptr<Gateway> gateway_;
  std::thread standins_thread_;
  std::thread gateway_thread_;
};

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

int RunsOf(Deployment& deployment, const std::string& id) {
  int runs = 0;
  deployment.OnStandins(
      [&] { runs = deployment.first.runs[id] + deployment.second.runs[id]; });
  return runs;
}

}  // namespace

Test(gateway_process, serves_a_request_whole_and_hides_the_key) {
  Deployment deployment;
  const std::string answer = deployment.Request("/r/ok", "a1");
  cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_expect(Has(answer, "X-Request-Id: a1") && Has(answer, "from i-"));
  cr_expect(Has(answer, "X-Server-Seal: seal"));
  deployment.OnStandins([&] {
    cr_expect(!deployment.first.saw_key && !deployment.second.saw_key);
    const ServerStandin& used =
        deployment.first.runs["a1"] > 0 ? deployment.first : deployment.second;
    cr_expect(used.last_workspace == "kandy");
    const int deadline = std::stoi(used.last_deadline);
    cr_expect(deadline > 0 && deadline <= 1500);
  });
}

Test(gateway_process, refuses_with_the_truth) {
  Deployment deployment;
  cr_expect(
      deployment.Request("/r/ok", "b1", "unknown").starts_with("HTTP/1.1 401"));
  cr_expect(deployment.Request("/x/ok", "b2").starts_with("HTTP/1.1 404"));
  const std::string shed = deployment.Request("/w/shed", "b3");
  cr_expect(shed.starts_with("HTTP/1.1 503"), "%s", shed.c_str());
  cr_expect(Has(shed, "Retry-After: "));
  cr_expect_eq(RunsOf(deployment, "b3"), 0);
}

Test(gateway_process, a_request_that_may_not_repeat_runs_once) {
  Deployment deployment;
  const std::string broken = deployment.Request("/w/break", "c1");
  cr_expect(broken.starts_with("HTTP/1.1 502"), "%s", broken.c_str());
  cr_expect_eq(RunsOf(deployment, "c1"), 1);
  const std::string error = deployment.Request("/w/error", "c2");
  cr_expect(error.starts_with("HTTP/1.1 500"));
  cr_expect_eq(RunsOf(deployment, "c2"), 1);
}

Test(gateway_process, an_idempotent_request_is_tried_at_another_server) {
  Deployment deployment;
  cr_expect(deployment.Request("/r/break", "d1").starts_with("HTTP/1.1 502"));
  cr_expect_eq(RunsOf(deployment, "d1"), 2);
  cr_expect(
      deployment.Request("/r/unsealed", "d2").starts_with("HTTP/1.1 502"));
}

Test(gateway_process, an_answer_to_another_request_is_passed_over) {
  Deployment deployment;
  const std::string answer = deployment.Request("/w/stray", "e1");
  cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_expect(Has(answer, "from i-") && !Has(answer, "stray"));
}

Test(gateway_process, answers_look_ups_readiness_and_metrics) {
  Deployment deployment;
  const GatewaySettings& settings = deployment.settings();
  const std::string end = " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  const std::string look_up = deployment.Ask(
      settings.lookups, "GET /-/resolve?Name=h&Region=west&Zone=west-a" + end);
  cr_expect(Has(look_up, "\"Addresses\":[\"127.0.0.1:" +
                             std::to_string(settings.callers.port) + "\"]"));
  cr_expect(deployment.Ask(settings.readiness, "GET /-/ready" + end)
                .starts_with("HTTP/1.1 200"));
  const std::string metrics =
      deployment.Ask(settings.lookups, "GET /metrics" + end);
  cr_expect(Has(metrics, "comfreyvane_skipped_rows_total 1"));
}

Test(gateway_process, serves_on_without_the_store_and_follows_it_again) {
  Deployment deployment;
  deployment.OnStandins([&] { deployment.store.faults.status = 503; });
  cr_expect(deployment.Request("/r/ok", "f1").starts_with("HTTP/1.1 200"));
  deployment.OnStandins([&] {
    deployment.store.faults = {};
    deployment.store.faults.history_lost = true;
    std::string next = kConfiguration;
    next.replace(next.find("00000001"), 8, "0000000a");
    next.replace(next.find("/r/"), 3, "/q/");
    deployment.store.Put("op", "config", next);
  });
  bool follows = false;
  for (int i = 0; i < 500 && !follows; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    follows = deployment.Request("/q/ok", "f2-" + std::to_string(i))
                  .starts_with("HTTP/1.1 200");
  }
  cr_expect(follows);
  cr_expect(deployment.Request("/r/ok", "f3").starts_with("HTTP/1.1 404"));
}

Test(gateway_process, lists_itself_and_makes_the_fleets_secret) {
  Deployment deployment;
  bool listed = false;
  for (int i = 0; i < 300 && !listed; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    deployment.OnStandins([&] {
      listed = deployment.store.Has("hosts", "edge-1") &&
               deployment.store.Has("hosts", "!secret");
    });
  }
  cr_expect(listed);
}
