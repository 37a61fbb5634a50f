/// @file
/// Tests how soon a configuration is in force after trouble of the store.
#include <chrono>
#include <string>
#include <thread>

#include "comfreyvane/net/clock.h"
#include "platform/deployment.h"
#include "platform/eventually.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time within which an acknowledged version must be in force.
constexpr Duration kBound = milliseconds(2500);

/// Number of checks at intervals of 10 ms: 12 s.
constexpr int kTries = 1200;

/// Writes a configuration with another path of its reads.
void WriteVersion(Deployment& deployment,
                  const std::string& version,
                  const std::string& path) {
  deployment.OnStandins([&] {
    deployment.store.Put("op", "config", Configuration(version, path));
  });
}

/// Waits until all gateways serve a path.
/// @param acknowledged when the store accepted its configuration.
void ExpectInForceInTime(Deployment& deployment,
                         std::size_t gateways,
                         const std::string& path,
                         TimePoint acknowledged) {
  for (std::size_t i = 0; i < gateways; ++i) {
    cr_expect(Serves(deployment, i, path, kTries));
    const Duration delay = MonotonicNow() - acknowledged;
    cr_expect(delay <= kBound, "gateway %zu after %lld ms", i,
              static_cast<long long>(delay / milliseconds(1)));
  }
}

/// @return number of calls for a table that began while the store was silent.
int CallsBegunInSilence(Deployment& deployment, const std::string& table) {
  int calls = 0;
  deployment.OnStandins(
      [&] { calls = deployment.store.begun_in_silence[table]; });
  return calls;
}

}  // namespace

Test(late_configuration,
     a_call_begun_in_a_silence_holds_back_later_versions,
     .timeout = 60) {
  Deployment deployment;
  deployment.OnStandins([&] { deployment.store.faults.silent = true; });
  // The store is back just after the host has begun to wait for a change.
  cr_assert(Eventually(
      [&] { return CallsBegunInSilence(deployment, "op") > 0; }, kTries));
  deployment.OnStandins([&] { deployment.store.faults.silent = false; });
  WriteVersion(deployment, "00000002", "/q/");
  ExpectInForceInTime(deployment, 1, "/q/", MonotonicNow());
}

Test(late_configuration,
     a_silence_holds_back_the_hosts_behind_a_relay,
     .timeout = 60) {
  constexpr std::size_t kGateways = 3;
  Deployment deployment(kGateways);
  std::this_thread::sleep_for(seconds(2));
  deployment.OnStandins([&] { deployment.store.faults.silent = true; });
  cr_assert(Eventually(
      [&] { return CallsBegunInSilence(deployment, "op") > 2; }, kTries));
  deployment.OnStandins([&] { deployment.store.faults.silent = false; });
  WriteVersion(deployment, "00000002", "/q/");
  ExpectInForceInTime(deployment, kGateways, "/q/", MonotonicNow());
}

Test(late_configuration,
     calls_held_over_a_restore_hold_back_later_versions,
     .timeout = 60) {
  Deployment deployment;
  deployment.OnStandins([&] {
    deployment.store.faults.hold_over_restore = true;
    deployment.store.Backup();
    for (int i = 0; i < 40; ++i)
      deployment.store.Put("op", "evacuate/elsewhere", "{}");
  });
  std::this_thread::sleep_for(milliseconds(1500));
  deployment.OnStandins([&] { deployment.store.Restore(); });
  WriteVersion(deployment, "00000002", "/q/");
  ExpectInForceInTime(deployment, 1, "/q/", MonotonicNow());
}

Test(late_configuration,
     a_lost_answer_holds_back_later_versions,
     .timeout = 60) {
  Deployment deployment;
  std::this_thread::sleep_for(seconds(1));
  // Swallows the answers to the calls that are held now.
  deployment.OnStandins([&] { deployment.store.faults.silent = true; });
  WriteVersion(deployment, "00000002", "/q/");
  const TimePoint acknowledged = MonotonicNow();
  std::this_thread::sleep_for(milliseconds(100));
  deployment.OnStandins([&] { deployment.store.faults.silent = false; });
  ExpectInForceInTime(deployment, 1, "/q/", acknowledged);
}
