#include "soak/soak_fleet.h"

#include <array>
#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <utility>

#include "support/free_port.h"

namespace comfreyvane::soak {
namespace {

std::string DomainOf(std::size_t number) {
  return number % 2 == 0 ? "west-a" : "west-b";
}

tcp::endpoint AnyPort() {
  return {asio::ip::address_v4::loopback(), 0};
}

std::string RouteText(const std::string& name,
                      const std::string& kind,
                      int timeout_ms) {
  return R"({"ResourceKind":"Routes","Metadata":{"Name":")" + name +
         R"("},"Spec":{"Host":"h","Prefix":"/)" + name.substr(0, 1) +
         R"(/","Kind":")" + kind +
         R"(","TargetLatencyMs":300,"Priority":1,"Service":"s","Sticky":true,)"
         R"("MaxAttempts":2,"TimeoutMs":)" +
         std::to_string(timeout_ms) + "}},";
}

std::string ConfigurationText(unsigned version, int timeout_ms) {
  std::array<char, 9> digits{};
  static_cast<void>(
      std::snprintf(digits.data(), digits.size(), "%08x", version));
  return R"({"Version":")" + std::string(digits.data()) + R"(","Resources":[)" +
         RouteText("reads", "idempotent", timeout_ms) +
         RouteText("writes", "non_idempotent", timeout_ms) +
         R"({"ResourceKind":"Services","Metadata":{"Name":"s"},"Spec":{)"
         R"("HealthPath":"/health","MaxConnections":330,"ColdStartS":1.0,)"
         R"("ColdPerS":20}},{"ResourceKind":"Tenants","Metadata":)"
         R"({"Name":"kandy"},"Spec":{"ApiKeys":["k1"],"RatePerS":)" +
         std::to_string(SoakFleet::kRate) + R"(,"Burst":)" +
         std::to_string(SoakFleet::kBurst) + "}}]}";
}

}  // namespace

SoakFleet::SoakFleet(std::string program,
                     std::size_t hosts,
                     std::uint64_t seed,
                     bool own_domains)
    : program_(std::move(program)), sweeper_(io_), store_(io_) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "gateway-soak-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  sweeper_.Start();
  Configure(1000);
  for (std::size_t i = 0; i < kServers; ++i)
    AddServer(i, seed);
  hosts_.reserve(hosts);
  for (std::size_t i = 0; i < hosts; ++i)
    AddHost(i, hosts, own_domains);
  thread_ = std::thread([this] { io_.run(); });
  for (std::size_t i = 0; i < hosts; ++i)
    Start(i);
}

SoakFleet::~SoakFleet() {
  for (Host& host : hosts_)
    host.process.reset();
  // The proxies are used by the thread until it ends.
  io_.stop();
  thread_.join();
}

void SoakFleet::AddServer(std::size_t number, std::uint64_t seed) {
  const std::string name = "i-" + std::to_string(number);
  Server server;
  server.standin =
      std::make_unique<SoakServer>(io_, name, seed + number, record_);
  if (number == 0)
    server.standin->NameLimit(std::to_string(kServerLimit));
  server.listener = std::make_unique<CallerListener<SoakServer>>(
      io_, AnyPort(), PortSharing::kExclusive, nullptr, sweeper_, HttpLimits{},
      *server.standin);
  server.listener->Start();
  server.path = std::make_unique<FaultProxy>(
      io_, server.listener->local_endpoint().port());
  store_.Put("servers", name,
             R"({"Address":")" + std::string(testing::kViewedPort) +
                 R"(","Info":{"Service":"s","Version":"v1","Zone":")" +
                 DomainOf(number) +
                 R"(","Slots":8},"Status":{"State":"ready","Seq":1,)"
                 R"("ColdRemainingMs":0},"born":1})");
  servers_.push_back(std::move(server));
}

void SoakFleet::AddHost(std::size_t number,
                        std::size_t hosts,
                        bool own_domains) {
  Host host;
  const std::string name = "edge-" + std::to_string(number + 1);
  host.caller_port = testing::FreePort();
  host.settings_file = (folder_ / (name + ".ini")).string();
  std::vector<std::uint16_t> ports;
  for (const Server& server : servers_)
    ports.push_back(server.path->port());
  host.links = std::make_unique<HostLinks>(io_, sweeper_, store_, ports);
  host.store_path = std::make_unique<FaultProxy>(io_, host.links->store_port());
  const std::string domain =
      own_domains ? "west-" + std::to_string(number) : DomainOf(number);
  const auto listen = [](const char* key, std::uint16_t port) {
    return std::string(key) + " = 127.0.0.1:" + std::to_string(port) + "\n";
  };
  std::ofstream file(host.settings_file);
  file << "[host]\nname = " << name << "\nfailure_domain = " << domain
       << "\nregion = west\nprocessor_share = 0.5\n[domains]\nwest-a = west\n"
       << "west-b = west\n";
  for (std::size_t i = 0; own_domains && i < hosts; ++i)
    file << "west-" << i << " = west\n";
  file << "[listen]\n"
       << listen("callers", host.caller_port)
       << listen("readiness", testing::FreePort())
       << listen("lookups", testing::FreePort())
       << listen("peers", testing::FreePort()) << "[platform]\n"
       << listen("address", host.store_path->port()) << "[stop]\ngrace_s = 4\n";
  hosts_.push_back(std::move(host));
}

void SoakFleet::Start(std::size_t host) {
  Host& own = hosts_[host];
  own.process = std::make_unique<processes::ChildProcess>(
      std::vector<std::string>{program_, "--settings", own.settings_file},
      own.settings_file + ".log");
}

void SoakFleet::Signal(std::size_t host, int signal) const {
  hosts_[host].process->Signal(signal);
}

bool SoakFleet::Join(std::size_t host) {
  return hosts_[host].process->Wait() == 0;
}

void SoakFleet::Post(std::function<void()> change) {
  asio::post(io_, std::move(change));
}

void SoakFleet::SetStorePath(std::size_t host, ProxyMode mode) {
  Post([this, host, mode] { hosts_[host].store_path->SetMode(mode); });
}

void SoakFleet::ResetStorePath(std::size_t host) {
  Post([this, host] { hosts_[host].store_path->ResetAll(); });
}

void SoakFleet::CutFromServers(std::size_t host, CutKind kind) {
  Post([this, host, kind] { hosts_[host].links->Cut(kind); });
}

void SoakFleet::RestoreServers(std::size_t host) {
  Post([this, host] { hosts_[host].links->Restore(); });
}

void SoakFleet::SetServerPath(std::size_t server, ProxyMode mode) {
  Post([this, server, mode] { servers_[server].path->SetMode(mode); });
}

void SoakFleet::ResetServerPath(std::size_t server) {
  Post([this, server] { servers_[server].path->ResetAll(); });
}

void SoakFleet::SetServerFaults(std::size_t server, double part) {
  Post([this, server, part] { servers_[server].standin->SetFaults(part); });
}

void SoakFleet::SetStoreFaults(const testing::StoreStandin::Faults& faults) {
  Post([this, faults] { store_.faults = faults; });
}

void SoakFleet::Configure(int timeout_ms) {
  const std::string text = ConfigurationText(++version_, timeout_ms);
  Post([this, text] { store_.Put("op", "config", text); });
}

void SoakFleet::Evacuate(const std::string& domain, bool evacuated) {
  Post([this, domain, evacuated] {
    if (evacuated)
      store_.Put("op", "evacuate/" + domain, "{}");
    else
      store_.Delete("op", "evacuate/" + domain);
  });
}

}  // namespace comfreyvane::soak
