#include "soak/soak_configuration.h"

#include <array>
#include <cstdio>

#include "soak/soak_request.h"

namespace comfreyvane::soak {
namespace {

std::string RegionsText(const std::vector<std::string>& regions) {
  if (regions.empty())
    return {};
  std::string text;
  for (const std::string& region : regions)
    text += (text.empty() ? "\"" : ",\"") + region + "\"";
  return R"(,"AllowedRegions":[)" + text + "]";
}

std::string RouteText(const std::string& name,
                      const std::string& kind,
                      const std::string& fields,
                      int timeout_ms) {
  return R"({"ResourceKind":"Routes","Metadata":{"Name":")" + name +
         R"("},"Spec":{"Host":"h","Prefix":"/)" + name + R"(/","Kind":")" +
         kind +
         R"(","TargetLatencyMs":300,"Priority":1,"Service":"s","Sticky":true,)"
         R"("MaxAttempts":2,"TimeoutMs":)" +
         std::to_string(timeout_ms) + fields + "}},";
}

std::string WorkspaceText(const std::string& name, const std::string& fields) {
  return R"({"ResourceKind":"Tenants","Metadata":{"Name":")" + name +
         R"("},"Spec":{"ApiKeys":[")" + name + R"(-key"])" + fields + "}}";
}

}  // namespace

std::string SoakConfiguration::Text(unsigned version) const {
  std::array<char, 9> digits{};
  static_cast<void>(
      std::snprintf(digits.data(), digits.size(), "%08x", version));
  const std::string regions = RegionsText(route_regions);
  return R"({"Version":")" + std::string(digits.data()) + R"(","Resources":[)" +
         RouteText("reads", "idempotent", "", timeout_ms) +
         RouteText("writes", "non_idempotent", "", timeout_ms) +
         RouteText("bound", "idempotent", regions, timeout_ms) +
         RouteText("keep", "non_idempotent", regions, timeout_ms) +
         R"({"ResourceKind":"Services","Metadata":{"Name":"s"},"Spec":{)"
         R"("HealthPath":"/health","MaxConnections":330,"ColdStartS":1.0,)"
         R"("ColdPerS":20}},)" +
         WorkspaceText(kLimitedWorkspace,
                       R"(,"RatePerS":)" + std::to_string(rate) +
                           R"(,"Burst":)" + std::to_string(burst)) +
         "," + WorkspaceText(kBoundWorkspace, RegionsText(workspace_regions)) +
         "]}";
}

}  // namespace comfreyvane::soak
