/// @file
/// Tests requests that are bound to regions, while the configuration is old.
#include <chrono>
#include <string>
#include <thread>

#include "platform/deployment.h"
#include "platform/eventually.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Number of checks at intervals of 10 ms: 4 s.
constexpr int kTries = 400;

/// @return the configuration of the tests with its reads bound to a region, and
///     another path for reads that are not.
std::string BoundConfiguration(const std::string& version,
                               const std::string& region) {
  std::string text = Configuration(version, "/b/");
  const std::string host = R"("Host":"h")";
  text.replace(text.find(host), host.size(),
               host + R"(,"AllowedRegions":[")" + region + R"("])");
  const std::string services = R"({"ResourceKind":"Services")";
  text.insert(
      text.find(services),
      R"({"ResourceKind":"Routes","Metadata":{"Name":"free"},"Spec":{)"
      R"("Host":"h","Prefix":"/r/","Kind":"idempotent","TimeoutMs":2000,)"
      R"("TargetLatencyMs":500,"Priority":1,"Service":"s","MaxAttempts":2}},)");
  return text;
}

void Write(Deployment& deployment,
           const std::string& version,
           const std::string& region) {
  deployment.OnStandins([&] {
    deployment.store.Put("op", "config", BoundConfiguration(version, region));
  });
}

}  // namespace

Test(region_bound_requests,
     are_refused_as_not_run_while_the_configuration_may_be_old,
     .timeout = 60) {
  Deployment deployment;
  Write(deployment, "00000002", "west");
  cr_assert(Serves(deployment, 0, "/b/", kTries));
  deployment.OnStandins([&] { deployment.store.faults.silent = true; });
  std::this_thread::sleep_for(deployment.settings().max_configuration_age +
                              milliseconds(50));
  const std::string bound = deployment.Request("/b/1", "q1");
  cr_expect(bound.starts_with("HTTP/1.1 503"), "%s", bound.c_str());
  cr_expect(bound.find("configuration-stale") != std::string::npos);
  cr_expect(bound.find("Retry-After") != std::string::npos);
  const std::string free = deployment.Request("/r/1", "q2");
  cr_expect(free.starts_with("HTTP/1.1 200"), "%s", free.c_str());
  deployment.OnStandins([&] { deployment.store.faults.silent = false; });
  cr_expect(Serves(deployment, 0, "/b/", kTries));
}

Test(region_bound_requests,
     are_refused_once_their_region_has_moved,
     .timeout = 60) {
  Deployment deployment;
  Write(deployment, "00000002", "west");
  cr_assert(Serves(deployment, 0, "/b/", kTries));
  Write(deployment, "00000003", "east");
  cr_expect(Eventually(
      [&] {
        return deployment.Request("/b/1", "q1").starts_with("HTTP/1.1 503");
      },
      kTries));
}

Test(region_bound_requests,
     run_by_a_configuration_that_was_replaced_while_they_waited,
     .timeout = 60) {
  Deployment deployment;
  Write(deployment, "00000002", "west");
  cr_assert(Serves(deployment, 0, "/b/", kTries));
  // Requests wait until the servers want some again.
  deployment.OnStandins([&] {
    deployment.first.wait = "0.4";
    deployment.second.wait = "0.4";
  });
  static_cast<void>(deployment.Request("/b/1", "q1"));
  static_cast<void>(deployment.Request("/b/1", "q2"));
  deployment.OnStandins([&] {
    deployment.first.wait.clear();
    deployment.second.wait.clear();
  });
  std::string answer;
  std::thread waiting([&] { answer = deployment.Request("/b/1", "q3"); });
  std::this_thread::sleep_for(milliseconds(50));
  // The route is dropped, and the former configuration with it.
  deployment.OnStandins([&] {
    deployment.store.Put("op", "config", Configuration("00000003", "/q/"));
  });
  waiting.join();
  cr_expect(!answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_expect(Serves(deployment, 0, "/q/", kTries));
}
