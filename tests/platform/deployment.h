/// @file
/// A deployment of gateways, stand-in backend servers and a stand-in store on
/// loopback.
#ifndef TESTS_PLATFORM_DEPLOYMENT_H_
#define TESTS_PLATFORM_DEPLOYMENT_H_

#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "comfreyvane/gateway/gateway_process.h"
#include "platform/gateway_platform.h"
#include "platform/served.h"
#include "platform/server_standin.h"
#include "platform/store_standin.h"
#include "support/criterion.h"
#include "support/free_port.h"
#include "support/loopback_edge.h"
#include "support/run_on.h"

namespace comfreyvane::testing {

inline const char* const kConfiguration =
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

/// @return kConfiguration with another version and another path of its reads.
inline std::string Configuration(const std::string& version,
                                 const std::string& path) {
  std::string text = kConfiguration;
  text.replace(text.find("00000001"), version.size(), version);
  text.replace(text.find("/r/"), 3, path);
  return text;
}

/// @return the store's entry of a backend server on loopback.
inline std::string EntryAt(std::uint16_t port) {
  return R"({"Address":"127.0.0.1:)" + std::to_string(port) +
         R"(","Info":{"Service":"s","Version":"v1","Zone":"west-a",)"
         R"("Slots":8},"Status":{"State":"ready","Seq":1,)"
         R"("ColdRemainingMs":0},"born":1})";
}

/// Two stand-in backend servers and a stand-in store on one thread, and
/// gateways of one failure domain with a thread each.
class Deployment {
 public:
  explicit Deployment(std::size_t gateways = 1)
      : sweeper_(io_),
        store(io_),
        first(io_, "i-1"),
        second(io_, "i-2"),
        store_(io_, sweeper_, store),
        first_(io_, sweeper_, first),
        second_(io_, sweeper_, second) {
    sweeper_.Start();
    store.Put("op", "config", kConfiguration);
    store.Put("servers", "i-1",
              EntryAt(first_.listener.local_endpoint().port()));
    store.Put("servers", "i-2",
              EntryAt(second_.listener.local_endpoint().port()));
    store.Put("servers", "foreign", "{\"Address\":7}");
    standins_thread_ = std::thread([this] { io_.run(); });
    for (std::size_t i = 0; i < gateways; ++i)
      StartGateway(i);
    for (std::size_t i = 0; i < gateways; ++i)
      WaitUntilServing(i);
  }
  ~Deployment() {
    for (const auto& running : gateways_)
      running->gateway.Stop();
    for (const auto& running : gateways_)
      running->Join();
    io_.stop();
    standins_thread_.join();
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Sends a text to an endpoint.
  /// @return all bytes received until the connection is closed.
  [[nodiscard]] std::string Fetch(const Endpoint& endpoint,
                                  const std::string& text) {
    return FetchRaw({asio::ip::make_address(endpoint.address), endpoint.port},
                    text);
  }

  [[nodiscard]] std::string Request(const std::string& path,
                                    const std::string& id,
                                    const std::string& key = "k1",
                                    std::size_t gateway = 0) {
    const bool writes = path.starts_with("/w/");
    return Fetch(settings(gateway).callers,
                 (writes ? "POST " : "GET ") + path +
                     " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: 1500\r\nX-Tenant: forged\r\n" +
                     "Authorization: Bearer " + key +
                     "\r\nConnection: close\r\n" +
                     (writes ? "Content-Length: 2\r\n\r\nhi" : "\r\n"));
  }

  /// Runs a function on the stand-ins' thread and waits for it.
  void OnStandins(const std::function<void()>& change) { RunOn(io_, change); }

  /// Stops a gateway and waits until it has exited.
  void StopGateway(std::size_t gateway) {
    gateways_[gateway]->gateway.Stop();
    gateways_[gateway]->Join();
  }

  [[nodiscard]] const GatewaySettings& settings(std::size_t gateway = 0) const {
    return gateways_[gateway]->settings;
  }

 private:
  using Gateway = GatewayProcess<platform::GatewayPlatform>;

  struct RunningGateway {
    RunningGateway(GatewaySettings wanted, std::uint64_t incarnation)
        : settings(std::move(wanted)),
          gateway(settings, "/dev/null", incarnation, output),
          thread([this] { gateway.Run(); }) {}
    void Join() {
      if (thread.joinable())
        thread.join();
    }

    GatewaySettings settings;
    BoundedOutput output{STDERR_FILENO, 1024};
    Gateway gateway;
    std::thread thread;
  };

  void StartGateway(std::size_t number) {
    GatewaySettings settings;
    settings.name = "edge-" + std::to_string(number + 1);
    settings.failure_domain = "west-a";
    settings.region = "west";
    settings.domains = {{"west-a", "west"}};
    // The first gateway relays the store to the others.
    settings.processor_share = 1.0 / static_cast<double>(number + 1);
    for (Endpoint* endpoint : {&settings.callers, &settings.readiness,
                               &settings.lookups, &settings.peers})
      *endpoint = {"127.0.0.1", FreePort()};
    settings.platform = {"127.0.0.1", store_.listener.local_endpoint().port()};
    gateways_.push_back(std::make_unique<RunningGateway>(settings, number + 1));
  }

  void WaitUntilServing(std::size_t gateway) {
    constexpr int kMaxTries = 500;
    for (int i = 0; i < kMaxTries; ++i) {
      const std::string answer =
          Request("/r/ok", "probe" + std::to_string(i), "k1", gateway);
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
  std::vector<std::unique_ptr<RunningGateway>> gateways_;
  std::thread standins_thread_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_PLATFORM_DEPLOYMENT_H_
