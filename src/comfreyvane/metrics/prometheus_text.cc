#include "comfreyvane/metrics/prometheus_text.h"

#include <chrono>
#include <ostream>
#include <sstream>

namespace comfreyvane {
namespace {

void WriteHead(std::ostream& out,
               std::string_view name,
               std::string_view help,
               std::string_view type) {
  out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type
      << '\n';
}

template <typename Reason, std::size_t kCount>
void WriteReasons(std::ostream& out,
                  std::string_view name,
                  std::string_view help,
                  const std::array<std::uint64_t, kCount>& totals) {
  WriteHead(out, name, help, "counter");
  for (std::size_t i = 0; i < kCount; ++i) {
    out << name << "{reason=\"" << Name(static_cast<Reason>(i)) << "\"} "
        << totals[i] << '\n';
  }
}

template <typename Metric, typename Values>
void WritePlain(std::ostream& out,
                std::string_view type,
                const Values& values) {
  for (std::size_t i = 0; i < values.size(); ++i) {
    const auto metric = static_cast<Metric>(i);
    WriteHead(out, Name(metric), Help(metric), type);
    out << Name(metric) << ' ' << values[i] << '\n';
  }
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void WriteLatency(std::ostream& out,
                  LatencyName latency,
                  const LatencySummary& summary) {
  const std::string_view name = Name(latency);
  WriteHead(out, name, Help(latency), "summary");
  out << name << "{quantile=\"0.5\"} " << Seconds(summary.p50) << '\n'
      << name << "{quantile=\"0.9\"} " << Seconds(summary.p90) << '\n'
      << name << "{quantile=\"0.99\"} " << Seconds(summary.p99) << '\n'
      << name << "_sum " << Seconds(summary.sum) << '\n'
      << name << "_count " << summary.count << '\n';
}

}  // namespace

std::string PrometheusText(const MetricsSnapshot& snapshot) {
  std::ostringstream out;
  out.precision(9);
  WriteReasons<RefusalReason>(out, "comfreyvane_refusals_total",
                              "Refused requests and look-ups by reason.",
                              snapshot.refusals);
  WriteReasons<RetryReason>(out, "comfreyvane_retries_total",
                            "Repeated attempts by reason.", snapshot.retries);
  WritePlain<CounterName>(out, "counter", snapshot.counters);
  WritePlain<GaugeName>(out, "gauge", snapshot.gauges);
  for (std::size_t i = 0; i < kLatencyNameCount; ++i)
    WriteLatency(out, static_cast<LatencyName>(i), snapshot.latencies[i]);
  return out.str();
}

}  // namespace comfreyvane
