/// @file
/// Tests a gateway with stand-in backend servers and a stand-in store.
#include <thread>

#include "platform/deployment.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;

namespace {

bool Has(const std::string& text, const std::string& substring) {
  return text.find(substring) != std::string::npos;
}

int RunsOf(Deployment& deployment, const std::string& id) {
  int runs = 0;
  deployment.OnStandins(
      [&] { runs = deployment.first.runs[id] + deployment.second.runs[id]; });
  return runs;
}

}  // namespace

Test(gateway_process, forwards_a_request_without_the_key) {
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

Test(gateway_process, refusals_have_the_status_of_their_reason) {
  Deployment deployment;
  cr_expect(
      deployment.Request("/r/ok", "b1", "unknown").starts_with("HTTP/1.1 401"));
  cr_expect(deployment.Request("/x/ok", "b2").starts_with("HTTP/1.1 404"));
  const std::string shed = deployment.Request("/w/shed", "b3");
  cr_expect(shed.starts_with("HTTP/1.1 503"), "%s", shed.c_str());
  cr_expect(Has(shed, "Retry-After: "));
  cr_expect_eq(RunsOf(deployment, "b3"), 0);
}

Test(gateway_process, a_non_idempotent_request_is_not_retried) {
  Deployment deployment;
  const std::string broken = deployment.Request("/w/break", "c1");
  cr_expect(broken.starts_with("HTTP/1.1 502"), "%s", broken.c_str());
  cr_expect_eq(RunsOf(deployment, "c1"), 1);
  const std::string error = deployment.Request("/w/error", "c2");
  cr_expect(error.starts_with("HTTP/1.1 500"));
  cr_expect_eq(RunsOf(deployment, "c2"), 1);
}

Test(gateway_process, an_idempotent_request_is_retried_at_another_server) {
  Deployment deployment;
  cr_expect(deployment.Request("/r/break", "d1").starts_with("HTTP/1.1 502"));
  cr_expect_eq(RunsOf(deployment, "d1"), 2);
  cr_expect(
      deployment.Request("/r/unsealed", "d2").starts_with("HTTP/1.1 502"));
}

Test(gateway_process, an_answer_to_another_request_is_discarded) {
  Deployment deployment;
  const std::string answer = deployment.Request("/w/stray", "e1");
  cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_expect(Has(answer, "from i-") && !Has(answer, "stray"));
}

Test(gateway_process, answers_look_ups_readiness_and_metrics) {
  Deployment deployment;
  const GatewaySettings& settings = deployment.settings();
  const std::string end = " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  const std::string look_up = deployment.Fetch(
      settings.lookups, "GET /-/resolve?Name=h&Region=west&Zone=west-a" + end);
  cr_expect(Has(look_up, "\"Addresses\":[\"127.0.0.1:" +
                             std::to_string(settings.callers.port) + "\"]"));
  cr_expect(deployment.Fetch(settings.readiness, "GET /-/ready" + end)
                .starts_with("HTTP/1.1 200"));
  const std::string metrics =
      deployment.Fetch(settings.lookups, "GET /metrics" + end);
  cr_expect(Has(metrics, "comfreyvane_skipped_rows_total 1"));
}

Test(gateway_process, serves_during_a_store_outage_and_recovers) {
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

Test(gateway_process, registers_itself_and_creates_the_fleet_secret) {
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

Test(gateway_process, refuses_at_once_what_the_limits_of_servers_leave_out) {
  Deployment deployment(2);
  deployment.OnStandins([&] {
    deployment.first.limit = "0.5";
    deployment.second.limit = "0.5";
  });
  int served = 0;
  std::string refused;
  for (int i = 0; i < 40; ++i) {
    const std::string answer =
        deployment.Request("/w/ok", "g" + std::to_string(i), "k1",
                           static_cast<std::size_t>(i % 2));
    if (answer.starts_with("HTTP/1.1 200"))
      ++served;
    else
      refused = answer;
  }
  cr_expect(served <= 10, "%d served", served);
  cr_expect(refused.starts_with("HTTP/1.1 503"), "%s", refused.c_str());
  cr_expect(Has(refused, "server-limit") && Has(refused, "Retry-After: 1.00"),
            "%s", refused.c_str());
  const std::string metrics =
      deployment.Fetch(deployment.settings().lookups,
                       "GET /metrics HTTP/1.1\r\nHost: h\r\n"
                       "Connection: close\r\n\r\n");
  cr_expect(Has(metrics, "reason=\"server-limit\""));
}
