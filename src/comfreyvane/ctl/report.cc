#include "comfreyvane/ctl/report.h"

#include <iomanip>
#include <ostream>
#include <string>

namespace comfreyvane::ctl {
namespace {

constexpr int kNameColumns = 20;
constexpr int kNumberColumns = 10;
constexpr double kPartsPerPercent = 100;

void WriteChange(const ConfigurationChange& change, std::ostream& out) {
  out << Name(change.kind) << ' ' << change.object << '\n';
  if (!change.before.empty())
    out << "  - " << change.before << '\n';
  if (!change.after.empty())
    out << "  + " << change.after << '\n';
}

void WriteHost(const HostStatus& host, std::ostream& out) {
  out << "  " << std::left << std::setw(kNameColumns) << host.name
      << std::setw(kNameColumns) << host.failure_domain
      << std::setw(kNumberColumns) << host.state << "in force "
      << host.in_force.value() << ", heard " << host.heard_ms << " ms ago"
      << (host.lags ? ", LAGS" : "") << '\n';
}

void WriteShare(const ShareStatus& share, std::ostream& out) {
  out << "  " << std::left << std::setw(kNameColumns) << share.service
      << std::setw(kNameColumns) << share.site << "steered "
      << share.steered / kPartsPerPercent << "% of "
      << share.declared / kPartsPerPercent << '%';
  if (!share.pause.empty())
    out << ", stands still: " << share.pause;
  out << '\n';
}

}  // namespace

void WriteReport(const CheckResponse& response, std::ostream& out) {
  for (const ConfigurationError& error : response.errors)
    out << error << '\n';
  for (const ConfigurationChange& change : response.changes)
    WriteChange(change, out);
}

void WriteReport(const StatusResponse& response, std::ostream& out) {
  out << "accepted   revision " << response.accepted.value() << ", digest "
      << response.digest << "\nin force   revision "
      << response.in_force.value() << " on every host heard by "
      << response.host << "\nplatform   "
      << (response.platform_reachable ? "reachable" : "NOT REACHABLE") << '\n';
  out << "hosts\n";
  for (const HostStatus& host : response.hosts)
    WriteHost(host, out);
  out << "shares\n";
  for (const ShareStatus& share : response.shares)
    WriteShare(share, out);
}

void WriteReport(const ExplainResponse& response, std::ostream& out) {
  for (const Explanation& decision : response.decisions) {
    out << decision.decision << "\n  host      " << decision.host
        << "\n  rule      " << decision.rule << "\n  revision  "
        << decision.revision.value() << '\n';
    for (const ExplanationInput& input : decision.inputs)
      out << "  " << input.name << " = " << input.value << '\n';
  }
}

void WriteReport(const ChangeResponse& response, std::ostream& out) {
  out << "accepted revision " << response.revision.value() << ", digest "
      << response.digest << (response.repeated ? " (by an earlier try)" : "")
      << '\n';
}

void WriteReport(const OperatorError& error, std::ostream& out) {
  out << Name(error.error);
  if (error.error == OperatorErrorKind::kConflict)
    out << ": made from revision " << error.base_revision.value()
        << ", but revision " << error.current_revision.value()
        << " is accepted";
  out << '\n';
  for (const ParseError& fault : error.parse_errors)
    out << fault << '\n';
  for (const ConfigurationError& fault : error.configuration_errors)
    out << fault << '\n';
}

}  // namespace comfreyvane::ctl
