/// @file
/// Prints the configuration of the local deployment that `make demo` starts:
/// one region, two failure domains with a site and a backend server each, a
/// keyed service, one whose requests are recorded in the store, and an open
/// one.
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

#include "comfreyvane/declare/deployment.h"

namespace {

using comfreyvane::declare::Deployment;
using comfreyvane::declare::FailureDomainHandle;
using comfreyvane::declare::Percent;
using comfreyvane::declare::Requests;
using comfreyvane::declare::RequestsPerSecond;
using comfreyvane::declare::ServiceBuilder;
using comfreyvane::declare::SiteHandle;

constexpr int kExitUsage = 1;
constexpr std::uint16_t kFirstPort = 18201;
constexpr std::uint16_t kSecondPort = 18202;

void AddServer(ServiceBuilder& service,
               const SiteHandle& site,
               std::uint16_t port) {
  service.AddBackendServer(service.value().name + "-" + site.name())
      .At(site)
      .Listens("127.0.0.1", port)
      .Slots(7)
      .Connections(300);
}

void AddServers(ServiceBuilder& service,
                const SiteHandle& first,
                const SiteHandle& second) {
  service.ShiftCap(Percent(10))
      .Deadline(std::chrono::seconds(5))
      .Share(first, Percent(50))
      .Share(second, Percent(50));
  AddServer(service, first, kFirstPort);
  AddServer(service, second, kSecondPort);
}

}  // namespace

/// Usage: demo_deployment KEY_FILE SLOW_KEY_FILE
int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: demo_deployment KEY_FILE SLOW_KEY_FILE\n";
    return kExitUsage;
  }
  Deployment deployment;
  const auto region = deployment.AddRegion("west", RequestsPerSecond(100000));
  const auto west_a = deployment.AddFailureDomain("west-a", region);
  const auto west_b = deployment.AddFailureDomain("west-b", region);
  const SiteHandle kandy = deployment.AddSite("kandy", west_a, "old-provider",
                                              RequestsPerSecond(50000));
  const SiteHandle jaffna = deployment.AddSite("jaffna", west_b, "new-provider",
                                               RequestsPerSecond(50000));
  AddServers(deployment.AddService("capture", "/capture/"), kandy, jaffna);
  AddServers(deployment.AddService("payments", "/payments/").RecordInStore(),
             kandy, jaffna);
  AddServers(deployment.AddService("scripts", "/scripts/").Open(), kandy,
             jaffna);
  deployment.AddWorkspace("household-survey")
      .Weight(2)
      .Rate(RequestsPerSecond(20000))
      .Burst(Requests(20000))
      .AddKeyFile("household-1", argv[1]);
  deployment.AddWorkspace("pilot")
      .Rate(RequestsPerSecond(1))
      .Burst(Requests(4))
      .AddKeyFile("pilot-1", argv[2]);
  return deployment.Print(std::cout, std::cerr);
}
