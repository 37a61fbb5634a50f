/// @file
/// Configuration of the tests of hosts without a path to the backend servers.
#ifndef TESTS_PLATFORM_STRANDED_CONFIGURATION_H_
#define TESTS_PLATFORM_STRANDED_CONFIGURATION_H_

#include <string>

#include "platform/deployment.h"

namespace comfreyvane::testing {

/// @return kConfiguration with a route whose requests may run in the first
///     region only, and a limit that the tests do not reach.
inline std::string StrandedConfiguration() {
  std::string text = kConfiguration;
  const std::string services = R"({"ResourceKind":"Services")";
  text.insert(
      text.find(services),
      R"({"ResourceKind":"Routes","Metadata":{"Name":"homed"},"Spec":{)"
      R"("Host":"h","Prefix":"/h/","Kind":"non_idempotent","TimeoutMs":2000,)"
      R"("AllowedRegions":["region-0"],)"
      R"("TargetLatencyMs":500,"Priority":1,"Service":"s","MaxAttempts":2}},)");
  const std::string limit = R"("RatePerS":1000,"Burst":1000)";
  return text.replace(text.find(limit), limit.size(),
                      R"("RatePerS":5000,"Burst":5000)");
}

}  // namespace comfreyvane::testing

#endif  // TESTS_PLATFORM_STRANDED_CONFIGURATION_H_
