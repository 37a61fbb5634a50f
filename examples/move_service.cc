/// @file
/// Moves a service from one hosting provider to another in steps. Each step is
/// a whole configuration, reviewed as a diff against the one before:
///
///     move_service 0 > step0.json
///     move_service 1 > step1.json
///     comfreyctl diff step0.json step1.json
///     comfreyctl apply step1.json ...
///
/// Step 0 has all traffic at the old provider. Steps 1 to 5 raise the new
/// provider's share. Step 6 drains the old backend servers. Step 7 forgets the
/// old site.
#include <array>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

#include "comfreyvane/declare/deployment.h"

namespace {

using comfreyvane::declare::Deployment;
using comfreyvane::declare::FailureDomainHandle;
using comfreyvane::declare::Megabits;
using comfreyvane::declare::Percent;
using comfreyvane::declare::Requests;
using comfreyvane::declare::RequestsPerSecond;
using comfreyvane::declare::ServiceBuilder;
using comfreyvane::declare::SiteHandle;

/// Share of the new provider in percent, by step.
constexpr std::array<double, 8> kNewShare{0, 1, 10, 25, 50, 100, 100, 100};
constexpr std::size_t kDrainStep = 6;
constexpr std::size_t kForgetStep = 7;

constexpr int kServers = 3;
constexpr int kSlots = 5;
constexpr int kConnections = 300;
constexpr int kExitUsage = 1;

void AddServers(ServiceBuilder& service,
                const SiteHandle& site,
                const std::string& network,
                bool leaving) {
  for (int i = 1; i <= kServers; ++i) {
    auto& server = service
                       .AddBackendServer(service.value().name + '-' +
                                         site.name() + '-' + std::to_string(i))
                       .At(site)
                       .Listens(network + std::to_string(i), 8080)
                       .Slots(kSlots)
                       .Connections(kConnections);
    if (leaving)
      server.Leaving();
  }
}

void AddCapture(Deployment& deployment,
                const FailureDomainHandle& old_domain,
                const FailureDomainHandle& new_domain,
                std::size_t step) {
  const SiteHandle new_site = deployment.AddSite(
      "kandy", new_domain, "new-provider", RequestsPerSecond(600));
  ServiceBuilder& capture = deployment.AddService("capture", "/capture/")
                                .Deadline(std::chrono::seconds(5))
                                .ShiftCap(Percent(5))
                                .Share(new_site, Percent(kNewShare[step]));
  AddServers(capture, new_site, "192.0.2.", false);
  if (step >= kForgetStep)
    return;
  const SiteHandle old_site = deployment.AddSite(
      "jaffna", old_domain, "old-provider", RequestsPerSecond(600));
  capture.Share(old_site, Percent(100 - kNewShare[step]));
  AddServers(capture, old_site, "198.51.100.", step >= kDrainStep);
}

Deployment DeploymentAt(std::size_t step) {
  Deployment deployment;
  const auto north = deployment.AddRegion("north", RequestsPerSecond(1000));
  const auto central = deployment.AddRegion("central", RequestsPerSecond(1000));
  deployment.AddLink(north, central, Megabits(300));
  const auto north_a = deployment.AddFailureDomain("north-a", north);
  const auto central_a = deployment.AddFailureDomain("central-a", central);
  AddCapture(deployment, north_a, central_a, step);
  deployment.AddWorkspace("household-survey")
      .Weight(2)
      .Rate(RequestsPerSecond(120))
      .Burst(Requests(240))
      .AddKey("household-1",
              "5b0d4b6c4b0f3d0a1f6a0f1c3f1f5f0e"
              "9c7d4a7c2a0e6f5b8d3c1e9f7a6b5c4d");
  return deployment;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string step = argc == 2 ? argv[1] : "";
  if (step.size() != 1 || step[0] < '0' ||
      step[0] >= static_cast<char>('0' + kNewShare.size())) {
    std::cerr << "usage: move_service STEP, from 0 to " << kNewShare.size() - 1
              << '\n';
    return kExitUsage;
  }
  return DeploymentAt(static_cast<std::size_t>(step[0] - '0'))
      .Print(std::cout, std::cerr);
}
