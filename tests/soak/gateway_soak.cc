/// @file
/// Runs gateways under random faults and checks what callers and backend
/// servers see.
#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include "comfreyvane/net/clock.h"
#include "soak/fault_schedule.h"
#include "soak/rule_checks.h"
#include "soak/soak_caller.h"
#include "soak/soak_fleet.h"

namespace {

namespace options = boost::program_options;
using namespace comfreyvane;
using namespace comfreyvane::soak;

/// Time in which a fleet starts: a little more for each host.
constexpr Duration kStart = std::chrono::seconds(3);
constexpr Duration kStartOfHost = std::chrono::milliseconds(40);
/// Time in which the fleet recovers from all faults.
constexpr Duration kRecovery = std::chrono::seconds(6);

/// Checks that a host serves all that it is asked after all faults.
void CheckRecovered(SoakFleet& fleet,
                    std::size_t host,
                    std::mutex& mutex,
                    std::set<std::string>& violations) {
  constexpr int kRequests = 20;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    SoakRequest request;
    request.id = "after-" + std::to_string(host) + "-" + std::to_string(i);
    request.method = i % 2 == 0 ? Method::kGet : Method::kPost;
    request.work = std::chrono::milliseconds(5);
    request.is_workspace_bound = true;
    SoakClient client(host, fleet.caller_port(host));
    served += client.Ask(request).status == 200 ? 1 : 0;
  }
  if (served >= kRequests * 9 / 10)
    return;
  const std::lock_guard lock(mutex);
  violations.insert("host " + std::to_string(host) + " serves only " +
                    std::to_string(served) + " of 20 after all faults");
}

std::set<std::string> CheckAllRecovered(SoakFleet& fleet) {
  constexpr std::size_t kThreads = 8;
  std::mutex mutex;
  std::set<std::string> violations;
  std::vector<std::thread> threads;
  for (std::size_t first = 0; first < kThreads; ++first) {
    threads.emplace_back([&, first] {
      for (std::size_t host = first; host < fleet.size(); host += kThreads)
        CheckRecovered(fleet, host, mutex, violations);
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  return violations;
}

void PlayFaults(SoakFleet& fleet, FaultSchedule& schedule, RequestEnds& ends) {
  std::atomic<bool> stop = false;
  std::vector<std::thread> callers;
  for (std::size_t number = 0; number < fleet.options().callers; ++number) {
    callers.emplace_back(
        [&, number] { SoakCaller(fleet, number).Run(stop, ends); });
  }
  schedule.Run(MonotonicNow() + std::chrono::seconds(fleet.options().seconds));
  stop = true;
  for (std::thread& caller : callers)
    caller.join();
}

int RunSoak(const SoakOptions& wanted) {
  SoakFleet fleet(wanted);
  std::this_thread::sleep_for(kStart +
                              static_cast<int>(wanted.hosts) * kStartOfHost);
  FaultSchedule schedule(fleet);
  RequestEnds ends;
  PlayFaults(fleet, schedule, ends);
  fleet.Configure({});
  std::this_thread::sleep_for(kRecovery);
  std::set<std::string> violations = CheckAllRecovered(fleet);
  violations.insert(schedule.violations().begin(), schedule.violations().end());
  const std::lock_guard lock(fleet.record().mutex);
  const RunRecord& record = fleet.record();
  violations.insert(record.violations.begin(), record.violations.end());
  if (record.open_floods > 0)
    violations.insert("endless answers are still read after all callers left");
  RuleChecks checks(schedule, record);
  checks.CheckAll(ends.all, fleet.rate(), SoakFleet::kBurst);
  violations.insert(checks.violations().begin(), checks.violations().end());
  const auto served = std::ranges::count_if(
      ends.all, [](const RequestEnd& end) { return end.status == 200; });
  std::printf(
      "seed %lu: %zu requests, %zu served, %zu outside regions after faults, "
      "%zu violations\n",
      static_cast<unsigned long>(wanted.seed), ends.all.size(),
      static_cast<std::size_t>(served), checks.excused_runs(),
      violations.size());
  for (const std::string& violation : violations)
    std::printf("VIOLATION %s\n", violation.c_str());
  if (violations.empty() && !wanted.keeps_logs)
    std::filesystem::remove_all(fleet.folder());
  else
    std::printf("logs are in %s\n", fleet.folder().c_str());
  return violations.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  SoakOptions wanted;
  wanted.program = COMFREYVANE_GATEWAY;
  options::options_description described("gateway_soak");
  auto add = described.add_options();
  add("help", "prints this");
  add("seed", options::value(&wanted.seed), "of the faults");
  add("other-program", options::value(&wanted.other_program),
      "another build, which hosts change to and from");
  add("seconds", options::value(&wanted.seconds), "time of faults");
  add("hosts", options::value(&wanted.hosts), "number of gateways");
  add("callers", options::value(&wanted.callers), "number of callers");
  add("cut-servers", options::bool_switch(&wanted.cuts_from_servers),
      "also cuts hosts from all servers");
  add("planned", options::bool_switch(&wanted.only_planned),
      "only planned work, and long requests");
  add("odd", options::bool_switch(&wanted.has_odd_peers),
      "servers and the store use all that they may");
  add("keep-logs", options::bool_switch(&wanted.keeps_logs),
      "keeps the gateways' logs");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, described), values);
    options::notify(values);
    if (values.contains("help")) {
      std::cout << described;
      return 0;
    }
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n' << described;
    return 2;
  }
  return RunSoak(wanted);
}
