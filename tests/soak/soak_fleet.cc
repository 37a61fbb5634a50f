#include "soak/soak_fleet.h"

#include <array>
#include <boost/asio/post.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include "comfreyvane/net/clock.h"
#include "soak/soak_bounds.h"
#include "support/free_port.h"

namespace comfreyvane::soak {
namespace {

struct Place {
  std::string domain;
  std::string region;
};

Place PlaceOf(std::size_t number) {
  static const std::array<Place, 3> kPlaces{
      {{"west-a", "west"}, {"west-b", "west"}, {"east-a", "east"}}};
  return kPlaces[number % kPlaces.size()];
}

/// @return the failure domain of a host that shares it with no other.
std::string OwnDomain(std::size_t number) {
  return "own-" + std::to_string(number);
}

}  // namespace

SoakFleet::SoakFleet(SoakOptions options)
    : options_(std::move(options)), sweeper_(io_), store_(io_) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "gateway-soak-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  sweeper_.Start();
  Configure({});
  for (std::size_t i = 0; i < kServers; ++i)
    AddServer(i);
  hosts_.reserve(options_.hosts);
  for (std::size_t i = 0; i < options_.hosts; ++i)
    AddHost(i);
  thread_ = std::thread([this] { io_.run(); });
  for (std::size_t i = 0; i < options_.hosts; ++i)
    Start(i);
}

SoakFleet::~SoakFleet() {
  for (Host& host : hosts_)
    host.process.reset();
  // The proxies are used by the thread until it ends.
  io_.stop();
  thread_.join();
}

void SoakFleet::AddServer(std::size_t slot) {
  Server server;
  server.number = slot;
  server.standin = std::make_unique<SoakServer>(io_, PlaceOf(slot).region,
                                                options_.seed + slot, record_);
  server.standin->SetSlots(slots());
  server.standin->Start("i-" + std::to_string(slot));
  if (options_.has_odd_peers)
    server.standin->SetOdd();
  if (slot == 0)
    server.standin->NameLimit(kServerLimit);
  server.path = std::make_unique<FaultProxy>(io_, server.standin->port());
  servers_.push_back(std::move(server));
  PutEntry(slot, "ready");
}

void SoakFleet::PutEntry(std::size_t server, const std::string& state) {
  const Server& one = servers_[server];
  store_.Put("servers", one.standin->name(),
             R"({"Address":")" + std::string(testing::kViewedPort) +
                 R"(","Info":{"Service":"s","Version":"v1","Zone":")" +
                 PlaceOf(server).domain + R"(","Slots":)" +
                 std::to_string(slots()) + R"(},"Status":{"State":")" + state +
                 R"(","Seq":1,"ColdRemainingMs":0},"born":)" +
                 std::to_string(one.number + 1) + "}");
}

void SoakFleet::AddHost(std::size_t number) {
  Host host;
  host.caller_port = testing::FreePort();
  host.look_up_port = testing::FreePort();
  host.settings_file =
      (folder_ / ("edge-" + std::to_string(number + 1) + ".ini")).string();
  std::vector<std::uint16_t> ports;
  for (const Server& server : servers_)
    ports.push_back(server.path->port());
  host.links = std::make_unique<HostLinks>(io_, sweeper_, store_, ports);
  host.store_path = std::make_unique<FaultProxy>(io_, host.links->store_port());
  hosts_.push_back(std::move(host));
  std::ofstream(hosts_.back().settings_file) << SettingsText(number);
}

std::string SoakFleet::SettingsText(std::size_t number) const {
  const Host& host = hosts_[number];
  const auto listen = [](const char* key, std::uint16_t port) {
    return std::string(key) + " = 127.0.0.1:" + std::to_string(port) + "\n";
  };
  const Place place = PlaceOf(number);
  std::ostringstream text;
  text << "[host]\nname = edge-" << number + 1 << "\nfailure_domain = "
       << (options_.cuts_from_servers ? OwnDomain(number) : place.domain)
       << "\nregion = " << place.region
       << "\nprocessor_share = 0.5\n[domains]\nwest-a = west\n"
       << "west-b = west\neast-a = east\n";
  for (std::size_t i = 0; options_.cuts_from_servers && i < options_.hosts; ++i)
    text << OwnDomain(i) << " = " << PlaceOf(i).region << '\n';
  text << "[listen]\n"
       << listen("callers", host.caller_port)
       << listen("readiness", testing::FreePort())
       << listen("lookups", host.look_up_port)
       << listen("peers", testing::FreePort()) << "[platform]\n"
       << listen("address", host.store_path->port())
       << "[stop]\ngrace_s = " << kGrace / std::chrono::seconds(1) << '\n';
  return text.str();
}

void SoakFleet::Start(std::size_t host) {
  Host& own = hosts_[host];
  const bool is_other =
      !options_.other_program.empty() && (host + own.starts++) % 2 == 1;
  own.process = std::make_unique<processes::ChildProcess>(
      std::vector<std::string>{
          is_other ? options_.other_program : options_.program, "--settings",
          own.settings_file},
      own.settings_file + ".log");
}

void SoakFleet::Signal(std::size_t host, int signal) const {
  hosts_[host].process->Signal(signal);
}

bool SoakFleet::Join(std::size_t host) {
  return hosts_[host].process->Wait() == 0;
}

bool SoakFleet::HasEnded(std::size_t host) const {
  return hosts_[host].process->HasEnded();
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

void SoakFleet::SetServerBusy(std::size_t server, bool is_busy) {
  Post([this, server, is_busy] {
    servers_[server].standin->SetSlots(is_busy ? 1 : slots());
  });
}

void SoakFleet::SetServerLimit(std::size_t server,
                               std::optional<double> limit) {
  Post([this, server, limit] { servers_[server].standin->NameLimit(limit); });
}

void SoakFleet::LeaveServer(std::size_t server) {
  Post([this, server] {
    PutEntry(server, "draining");
    servers_[server].standin->Leave();
  });
}

void SoakFleet::StopServer(std::size_t server) {
  Post([this, server] {
    store_.Delete("servers", servers_[server].standin->name());
    servers_[server].standin->Stop();
  });
}

void SoakFleet::RestartServer(std::size_t server) {
  Post([this, server] {
    Server& one = servers_[server];
    one.number += kServers;
    one.standin->Start("i-" + std::to_string(one.number));
    PutEntry(server, "ready");
  });
}

void SoakFleet::Configure(SoakConfiguration configuration) {
  configuration.rate = rate();
  configuration.burst = kBurst;
  const std::string text = configuration.Text(++version_);
  Post([this, text, configuration] {
    store_.Put("op", "config", text);
    configuration_text_ = text;
    const std::lock_guard lock(record_.mutex);
    record_.configurations.push_back({MonotonicNow(), configuration});
  });
}

void SoakFleet::BackUpStore() {
  Post([this] { store_.Backup(); });
}

void SoakFleet::RestoreStore() {
  Post([this] {
    store_.Restore();
    // What others than the hosts wrote is written again.
    store_.Put("op", "config", configuration_text_);
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      for (std::size_t old = i; old <= servers_[i].number; old += kServers)
        store_.Delete("servers", "i-" + std::to_string(old));
      if (servers_[i].standin->is_up())
        PutEntry(i, servers_[i].standin->is_leaving() ? "draining" : "ready");
    }
  });
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
