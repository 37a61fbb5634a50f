/// @file
/// Tests gateways while the store is restored from an older copy.
#include <chrono>
#include <string>
#include <thread>

#include "platform/deployment.h"
#include "platform/eventually.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;

namespace {

/// Number of checks at intervals of 10 ms: 8 s.
constexpr int kTries = 800;

/// @return whether the store has the rows that a gateway writes.
bool IsListed(Deployment& deployment) {
  bool listed = false;
  deployment.OnStandins([&] {
    listed = deployment.store.Has("hosts", "edge-1") &&
             deployment.store.Has("hosts", "!secret");
  });
  return listed;
}

/// Saves a copy of the store that lacks the gateway's rows, and waits until the
/// gateway has written them.
void BackupWithoutRows(Deployment& deployment) {
  cr_assert(Eventually([&] { return IsListed(deployment); }, kTries));
  deployment.OnStandins([&] {
    deployment.store.Delete("hosts", "edge-1");
    deployment.store.Delete("hosts", "!secret");
    deployment.store.Backup();
  });
  cr_assert(Eventually([&] { return IsListed(deployment); }, kTries));
}

}  // namespace

Test(store_copy, changes_after_a_restore_are_applied, .timeout = 60) {
  Deployment deployment(2);
  deployment.OnStandins([&] {
    deployment.store.Backup();
    // The copy is older than what the gateways have read.
    for (int i = 0; i < 20; ++i)
      deployment.store.Put("op", "evacuate/elsewhere", "{}");
  });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  deployment.OnStandins([&] {
    deployment.store.Restore();
    deployment.store.Put("op", "config", Configuration("00000002", "/q/"));
  });
  cr_expect(Serves(deployment, 0, "/q/", kTries));
  cr_expect(Serves(deployment, 1, "/q/", kTries));
}

Test(store_copy, a_restore_does_not_revert_the_configuration, .timeout = 60) {
  Deployment deployment;
  deployment.OnStandins([&] {
    deployment.store.Backup();
    deployment.store.Put("op", "config", Configuration("00000002", "/q/"));
  });
  cr_assert(Serves(deployment, 0, "/q/", kTries));
  deployment.OnStandins([&] { deployment.store.Restore(); });
  for (int i = 0; i < 100; ++i) {
    const std::string answer =
        deployment.Request("/q/ok", "after" + std::to_string(i));
    cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
  }
}

Test(store_copy, a_host_writes_its_rows_again, .timeout = 60) {
  Deployment deployment;
  BackupWithoutRows(deployment);
  deployment.OnStandins([&] { deployment.store.Restore(); });
  cr_expect(Eventually([&] { return IsListed(deployment); }, kTries));
}

Test(store_copy, a_held_call_delays_the_rows_of_a_host, .timeout = 60) {
  Deployment deployment;
  BackupWithoutRows(deployment);
  // The gateway has read its rows and waits for changes after their version.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  deployment.OnStandins([&] {
    deployment.store.Restore();
    // Takes the version that the gateway's rows had.
    deployment.store.Put("op", "evacuate/elsewhere", "{}");
  });
  cr_expect(Eventually([&] { return IsListed(deployment); }, kTries));
}

Test(store_copy,
     a_restore_does_not_bring_back_a_removed_server,
     .timeout = 60) {
  Deployment deployment;
  deployment.OnStandins([&] {
    deployment.store.Backup();
    deployment.store.Delete("servers", "i-1");
  });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  std::size_t before = 0;
  deployment.OnStandins([&] {
    deployment.store.Restore();
    before = deployment.first.runs.size();
  });
  for (int i = 0; i < 100; ++i) {
    static_cast<void>(deployment.Request("/r/ok", "late" + std::to_string(i)));
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
  }
  std::size_t after = 0;
  deployment.OnStandins([&] { after = deployment.first.runs.size(); });
  cr_expect_eq(after, before);
}
