/// @file
/// Gateways of several failure domains whose paths to the backend servers can
/// be cut.
#ifndef TESTS_PLATFORM_STRANDED_FLEET_H_
#define TESTS_PLATFORM_STRANDED_FLEET_H_

#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "comfreyvane/gateway/gateway_process.h"
#include "platform/gateway_platform.h"
#include "platform/served.h"
#include "platform/server_standin.h"
#include "platform/store_standin.h"
#include "platform/stranded_configuration.h"
#include "soak/host_links.h"
#include "support/free_port.h"
#include "support/loopback_edge.h"
#include "support/run_on.h"

namespace comfreyvane::testing {

/// Gateways with a failure domain each, three domains to a region, and backend
/// servers with a proxy for each host before them. Stand-ins and proxies run on
/// one thread, each gateway has one of its own.
class StrandedFleet {
 public:
  StrandedFleet(std::size_t hosts, std::size_t servers)
      : sweeper_(io_), store_(io_) {
    sweeper_.Start();
    store_.Put("op", "config", StrandedConfiguration());
    for (std::size_t i = 0; i < servers; ++i)
      AddServer(i, hosts);
    for (std::size_t i = 0; i < hosts; ++i)
      AddHost(i, hosts);
    thread_ = std::thread([this] { io_.run(); });
    for (const auto& host : hosts_)
      host->Start();
  }
  ~StrandedFleet() {
    for (const auto& host : hosts_) {
      if (host->gateway)
        host->gateway->Stop();
    }
    for (const auto& host : hosts_)
      host->Join();
    io_.stop();
    thread_.join();
  }
  StrandedFleet(const StrandedFleet&) = delete;
  StrandedFleet& operator=(const StrandedFleet&) = delete;

  [[nodiscard]] std::size_t size() const { return hosts_.size(); }
  [[nodiscard]] tcp::endpoint callers(std::size_t host) const {
    return {asio::ip::address_v4::loopback(),
            hosts_[host]->settings.callers.port};
  }
  [[nodiscard]] const GatewaySettings& settings(std::size_t host) const {
    return hosts_[host]->settings;
  }

  /// Cuts a host from all backend servers.
  void Cut(std::size_t host, soak::CutKind kind) {
    OnStandins([&] { hosts_[host]->links->Cut(kind); });
  }
  void Restore(std::size_t host) {
    OnStandins([&] { hosts_[host]->links->Restore(); });
  }

  /// Sets the requests/s that each server names in its answers; empty: none.
  void SetLimit(const std::string& limit) {
    OnStandins([&] {
      for (const auto& server : servers_)
        server->standin.limit = limit;
    });
  }

  /// @return how often a request ran, over all servers.
  [[nodiscard]] int RunsOf(const std::string& id) {
    int runs = 0;
    OnStandins([&] {
      for (const auto& server : servers_) {
        const auto found = server->standin.runs.find(id);
        runs += found == server->standin.runs.end() ? 0 : found->second;
      }
    });
    return runs;
  }
  /// @return the secret with which hosts authenticate each other.
  [[nodiscard]] std::string Secret() {
    std::string secret;
    OnStandins([&] { secret = store_.ValueOf("hosts", "!secret"); });
    return secret;
  }
  /// @return requests that a host has carried for others.
  [[nodiscard]] int CarriedBy(std::size_t host) const {
    const std::string name = "\ncomfreyvane_carried_for_peers_total ";
    const std::string text = FetchRaw(
        {asio::ip::address_v4::loopback(), hosts_[host]->settings.lookups.port},
        "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto found = text.find(name);
    return found == std::string::npos
               ? -1
               : std::stoi(text.substr(found + name.size()));
  }
  [[nodiscard]] bool ServersSawKey() {
    bool saw_key = false;
    OnStandins([&] {
      for (const auto& server : servers_)
        saw_key = saw_key || server->standin.saw_key;
    });
    return saw_key;
  }

 private:
  using Gateway = GatewayProcess<platform::GatewayPlatform>;

  /// Time that a request runs at a server.
  static constexpr std::chrono::milliseconds kWork{20};

  struct Server {
    Server(asio::io_context& io, TimeoutSweeper& sweeper, std::string name)
        : standin(io, std::move(name)), served(io, sweeper, standin) {
      standin.work = kWork;
    }

    ServerStandin standin;
    Served<ServerStandin> served;
  };

  struct Host {
    void Start() {
      gateway =
          std::make_unique<Gateway>(settings, "/dev/null", incarnation, output);
      thread = std::thread([this] { gateway->Run(); });
    }
    void Join() {
      if (thread.joinable())
        thread.join();
    }

    GatewaySettings settings;
    std::uint64_t incarnation = 0;
    std::unique_ptr<soak::HostLinks> links;
    BoundedOutput output{STDERR_FILENO, 1024};
    std::unique_ptr<Gateway> gateway;
    std::thread thread;
  };

  [[nodiscard]] static std::string DomainOf(std::size_t number) {
    return "d" + std::to_string(number);
  }
  [[nodiscard]] static std::string RegionOf(std::size_t domain) {
    return "region-" + std::to_string(domain / 3);
  }

  void AddServer(std::size_t number, std::size_t domains) {
    const std::string name = "i-" + std::to_string(number);
    servers_.push_back(std::make_unique<Server>(io_, sweeper_, name));
    store_.Put("servers", name,
               R"({"Address":")" + std::string(kViewedPort) +
                   R"(","Info":{"Service":"s",)"
                   R"("Version":"v1","Zone":")" +
                   DomainOf(number % domains) +
                   R"(","Slots":8},"Status":{"State":"ready","Seq":1,)"
                   R"("ColdRemainingMs":0},"born":1})");
  }

  void AddHost(std::size_t number, std::size_t hosts) {
    auto host = std::make_unique<Host>();
    std::vector<std::uint16_t> ports;
    for (const auto& server : servers_)
      ports.push_back(server->served.port());
    host->links =
        std::make_unique<soak::HostLinks>(io_, sweeper_, store_, ports);
    GatewaySettings& settings = host->settings;
    settings.name = "edge-" + std::to_string(number);
    settings.failure_domain = DomainOf(number);
    settings.region = RegionOf(number);
    for (std::size_t domain = 0; domain < hosts; ++domain)
      settings.domains[DomainOf(domain)] = RegionOf(domain);
    for (Endpoint* endpoint : {&settings.callers, &settings.readiness,
                               &settings.lookups, &settings.peers})
      *endpoint = {"127.0.0.1", FreePort()};
    settings.platform = {"127.0.0.1", host->links->store_port()};
    host->incarnation = number + 1;
    hosts_.push_back(std::move(host));
  }

  /// Runs a function on the stand-ins' thread and waits for it.
  void OnStandins(const std::function<void()>& change) { RunOn(io_, change); }

  asio::io_context io_{1};
  TimeoutSweeper sweeper_;
  StoreStandin store_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::thread thread_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_PLATFORM_STRANDED_FLEET_H_
