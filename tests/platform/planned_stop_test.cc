/// @file
/// Tests what callers get from a gateway that is stopped as planned.
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "platform/deployment.h"
#include "platform/eventually.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kTries = 500;

/// Lets requests last longer than the grace, which is six seconds.
void UseLongTimeouts(Deployment& deployment) {
  std::string text = Configuration("00000002", "/q/");
  const std::string timeout = "\"TimeoutMs\":2000,";
  for (auto at = text.find(timeout); at != std::string::npos;
       at = text.find(timeout))
    text.replace(at, timeout.size(), "\"TimeoutMs\":20000,");
  const std::string resources = "\"Resources\":[";
  text.insert(text.find(resources) + resources.size(),
              R"({"ResourceKind":"Limits","Metadata":{"Name":"limits"},)"
              R"("Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,)"
              R"("HeaderTimeoutMs":20000,"IdleTimeoutMs":30000}},)");
  deployment.OnStandins([&] { deployment.store.Put("op", "config", text); });
  cr_assert(Serves(deployment, 0, "/q/", kTries));
}

void SetWork(Deployment& deployment, milliseconds work) {
  deployment.OnStandins([&] {
    deployment.first.work = work;
    deployment.second.work = work;
  });
}

int RunsOf(Deployment& deployment, const std::string& id) {
  int runs = 0;
  deployment.OnStandins(
      [&] { runs = deployment.first.runs[id] + deployment.second.runs[id]; });
  return runs;
}

std::string WriteHead(const std::string& id) {
  return "POST /w/ok HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer k1\r\n"
         "Content-Length: 2\r\n\r\n";
}

tcp::endpoint CallersOf(const Deployment& deployment) {
  const Endpoint& callers = deployment.settings().callers;
  return {asio::ip::make_address(callers.address), callers.port};
}

/// A write whose body ends some time after the signal.
struct LateWrite {
  LateWrite(Deployment& deployment, milliseconds after)
      : id("late-" + std::to_string(after.count())),
        client(CallersOf(deployment)),
        delay(after) {
    client.Send(WriteHead(id) + "h");
  }
  void Finish(Clock::time_point signal) {
    std::this_thread::sleep_until(signal + delay);
    client.Send("i");
    answer = client.ReceiveAll();
  }

  std::string id;
  RawClient client;
  milliseconds delay;
  std::string answer;
};

bool IsHostLeaving(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 503") &&
         answer.find("host-leaving") != std::string::npos &&
         answer.find("Retry-After: ") != std::string::npos &&
         answer.find("Connection: close") != std::string::npos;
}

}  // namespace

Test(planned_stop,
     late_requests_are_refused_as_not_run_and_never_cut,
     .timeout = 60) {
  Deployment deployment;
  UseLongTimeouts(deployment);
  SetWork(deployment, seconds(2));
  std::vector<std::unique_ptr<LateWrite>> writes;
  for (const int after : {100, 1000, 2000, 2700, 3200, 4000, 5000})
    writes.push_back(
        std::make_unique<LateWrite>(deployment, milliseconds(after)));
  std::this_thread::sleep_for(milliseconds(200));
  const auto signal = Clock::now();
  std::vector<std::thread> threads;
  for (const auto& write : writes)
    threads.emplace_back([&write, signal] { write->Finish(signal); });
  deployment.StopGateway(0);
  for (std::thread& thread : threads)
    thread.join();
  for (const auto& write : writes) {
    const int runs = RunsOf(deployment, write->id);
    const bool is_served = write->answer.starts_with("HTTP/1.1 200");
    cr_expect(is_served ? runs == 1 : IsHostLeaving(write->answer) && runs == 0,
              "%s ran %d times: %s", write->id.c_str(), runs,
              write->answer.c_str());
    if (write->delay <= seconds(1))
      cr_expect(is_served, "%s: %s", write->id.c_str(), write->answer.c_str());
  }
}

Test(planned_stop,
     a_request_that_outlasts_the_grace_is_answered,
     .timeout = 60) {
  Deployment deployment;
  UseLongTimeouts(deployment);
  SetWork(deployment, seconds(15));
  RawClient client(CallersOf(deployment));
  client.Send(WriteHead("long") + "hi");
  cr_assert(
      Eventually([&] { return RunsOf(deployment, "long") == 1; }, kTries));
  const auto signal = Clock::now();
  deployment.StopGateway(0);
  const auto took = Clock::now() - signal;
  const std::string answer = client.ReceiveAll();
  // It may have run, and its server may be at work until the last sixth.
  cr_expect(answer.starts_with("HTTP/1.1 502"), "%s", answer.c_str());
  cr_expect(took >= seconds(5) && took < seconds(6));
}

Test(planned_stop,
     a_head_that_never_ends_is_refused_before_the_exit,
     .timeout = 60) {
  Deployment deployment;
  UseLongTimeouts(deployment);
  RawClient client(CallersOf(deployment));
  std::thread stop([&] { deployment.StopGateway(0); });
  std::this_thread::sleep_for(milliseconds(2000));
  client.Send("GET /r/ok HTTP/1.1\r\nHost: h\r\n");
  const std::string answer = client.ReceiveAll();
  stop.join();
  cr_expect(IsHostLeaving(answer), "%s", answer.c_str());
}

Test(planned_stop, idle_connections_hold_no_stop_up, .timeout = 60) {
  Deployment deployment;
  const RawClient silent(CallersOf(deployment));
  RawClient kept(CallersOf(deployment));
  kept.Send(
      "GET /r/ok HTTP/1.1\r\nHost: h\r\nX-Request-Id: kept\r\n"
      "Authorization: Bearer k1\r\n\r\n");
  cr_assert(kept.ReceiveUntil("from i-").find("200 OK") != std::string::npos);
  const auto signal = Clock::now();
  deployment.StopGateway(0);
  const auto took = Clock::now() - signal;
  cr_expect(took >= milliseconds(2400) && took < milliseconds(4000));
}
