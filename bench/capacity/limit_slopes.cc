#include <algorithm>
#include <string>
#include <vector>

#include "../../tests/support/limit_fleet.h"
#include "comfreyvane/net/json_text.h"
#include "comfreyvane/wire/limit_codec.h"
#include "measure.h"
#include "slopes.h"
#include "wire_size.h"

namespace comfreyvane::capacity {
namespace {

using namespace std::chrono_literals;
using testing::LimitFleet;

struct Cost {
  double memory = 0;    ///< Bytes a host.
  double time = 0;      ///< Microseconds a second a host.
  double messages = 0;  ///< Sent a second a host.
  double reads = 0;     ///< A second, all hosts.
  double writes = 0;    ///< A second, all hosts.
};

Cost Measure(std::uint32_t hosts, std::uint32_t limits, int seconds) {
  const std::size_t before = HeapInUse();
  LimitFleet::Options options;
  options.hosts = hosts;
  LimitFleet fleet(options);
  std::vector<Limit> all;
  for (std::uint32_t i = 0; i < limits; ++i)
    all.push_back({LimitId(500 + i), 100, 100});
  for (std::uint32_t i = 0; i < hosts; ++i)
    fleet.SetLimits(i, all, Revision(1));
  const auto run = [&](int count) {
    for (int second = 0; second < count; ++second) {
      for (std::uint32_t i = 0; i < limits; ++i)
        (void)fleet.TryTake(i % hosts, all[i].id);
      fleet.RunUntil(fleet.now() + 1s);
    }
  };
  run(10);
  const std::uint64_t messages = fleet.messages;
  const std::uint64_t reads = fleet.store().reads;
  const std::uint64_t writes = fleet.store().writes;
  const double start = ProcessorSeconds();
  run(seconds);
  const double host_seconds = static_cast<double>(hosts) * seconds;
  return {static_cast<double>(HeapInUse() - before) / hosts,
          (ProcessorSeconds() - start) * 1e6 / host_seconds,
          static_cast<double>(fleet.messages - messages) / host_seconds,
          static_cast<double>(fleet.store().reads - reads) / seconds,
          static_cast<double>(fleet.store().writes - writes) / seconds};
}

constexpr int kCalmSeconds = 300;

/// Calls to the store in five minutes of calm, in which each grant is renewed.
void MeasureCalm(std::uint32_t hosts, LimitSlopes& slopes) {
  LimitFleet::Options options;
  options.hosts = hosts;
  LimitFleet fleet(options);
  fleet.RunUntil(fleet.now() + 60s);
  const std::uint64_t reads = fleet.store().reads;
  const std::uint64_t writes = fleet.store().writes;
  fleet.RunUntil(fleet.now() + std::chrono::seconds(kCalmSeconds));
  const double size = hosts;
  slopes.calm_reads.samples.push_back(
      {size, static_cast<double>(fleet.store().reads - reads) / kCalmSeconds});
  slopes.calm_writes.samples.push_back(
      {size,
       static_cast<double>(fleet.store().writes - writes) / kCalmSeconds});
}

/// Most calls to the store in one second after a region's return.
struct Return {
  double reads = 0;
  double writes = 0;
};

/// Cuts one of three regions off for a minute.
Return MeasureReturn(std::uint32_t hosts) {
  LimitFleet::Options options;
  options.hosts = hosts;
  LimitFleet fleet(options);
  fleet.RunUntil(fleet.now() + 20s);
  const auto region = [&](std::uint32_t host) {
    return host == hosts ? options.regions : fleet.RegionOf(host);
  };
  fleet.connected = [&](std::uint32_t a, std::uint32_t b) {
    return (region(a) == 0) == (region(b) == 0);
  };
  fleet.RunUntil(fleet.now() + 60s);
  fleet.connected = [](std::uint32_t, std::uint32_t) { return true; };
  Return most;
  for (int second = 0; second < 10; ++second) {
    const auto reads = fleet.store().reads;
    const auto writes = fleet.store().writes;
    fleet.RunUntil(fleet.now() + 1s);
    most.reads =
        std::max(most.reads, static_cast<double>(fleet.store().reads - reads));
    most.writes = std::max(most.writes,
                           static_cast<double>(fleet.store().writes - writes));
  }
  return most;
}

LoanMessage MessageOf(std::size_t reports) {
  LoanMessage message;
  message.stamp = {Incarnation(0x18'0000'0000'0000), 1'000'000,
                   TimePoint(1000h)};
  message.echo = message.stamp;
  message.own_units = kTotalUnits / 8;
  message.loan_lifetime = 900ms;
  for (std::size_t i = 0; i < reports; ++i)
    message.reports.push_back(
        {LimitId::Of(std::to_string(i)), 100'000, 1'000'000});
  return message;
}

ShareTable TableOf(std::size_t hosts) {
  ShareTable table;
  for (std::size_t i = 0; i < hosts; ++i) {
    const HostId host = HostId::Of("host-" + std::to_string(i));
    const auto units = kTotalUnits / static_cast<std::int64_t>(2 * hosts);
    table.grants.push_back({GrantId(host.value()), host,
                            Incarnation(0x18'0000'0000'0000), units, units,
                            1000});
  }
  return table;
}

}  // namespace

LimitSlopes MeasureLimits() {
  LimitSlopes slopes{{"limit.memory", "B", "hosts", {}},
                     {"limit.memory", "B", "limits", {}},
                     {"limit.time", "us/s", "hosts", {}},
                     {"limit.time", "us/s", "limits", {}},
                     {"limit.messages", "1/s", "hosts", {}},
                     {"limit.settling_reads", "1/s", "hosts", {}},
                     {"limit.settling_writes", "1/s", "hosts", {}},
                     {"limit.calm_reads", "1/s", "hosts", {}},
                     {"limit.calm_writes", "1/s", "hosts", {}},
                     {"limit.return_reads", "1/s", "hosts returning", {}},
                     {"limit.return_writes", "1/s", "hosts returning", {}},
                     {"limit.loan_message", "B", "reports", {}},
                     {"limit.share_row", "B", "hosts", {}}};
  for (const std::uint32_t hosts : {8U, 32U, 64U, 128U}) {
    const Cost cost = Measure(hosts, 100, 20);
    const double size = hosts;
    slopes.memory_by_hosts.samples.push_back({size, cost.memory});
    slopes.time_by_hosts.samples.push_back({size, cost.time});
    slopes.messages_by_hosts.samples.push_back({size, cost.messages});
    slopes.settling_reads.samples.push_back({size, cost.reads});
    slopes.settling_writes.samples.push_back({size, cost.writes});
  }
  for (const std::uint32_t hosts : {8U, 16U, 32U, 64U})
    MeasureCalm(hosts, slopes);
  for (const std::uint32_t hosts : {24U, 48U, 96U}) {
    const Return most = MeasureReturn(hosts);
    slopes.return_reads.samples.push_back({hosts / 3.0, most.reads});
    slopes.return_writes.samples.push_back({hosts / 3.0, most.writes});
  }
  for (const std::uint32_t limits : {100U, 400U, 1600U}) {
    const Cost cost = Measure(8, limits, 3);
    slopes.memory_by_limits.samples.push_back(
        {static_cast<double>(limits), cost.memory});
    slopes.time_by_limits.samples.push_back(
        {static_cast<double>(limits), cost.time});
  }
  for (const std::size_t reports : {0, 10, 100})
    slopes.loan_message_bytes.samples.push_back(
        {static_cast<double>(reports),
         static_cast<double>(WireBytes("loans", ToJson(MessageOf(reports))))});
  for (const std::size_t hosts : {8, 340, 2900})
    slopes.share_row_bytes.samples.push_back(
        {static_cast<double>(hosts),
         static_cast<double>(ToText(ToJson(TableOf(hosts))).size())});
  return slopes;
}

}  // namespace comfreyvane::capacity
