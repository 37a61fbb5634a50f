/// @file
/// Configuration of the tests of hosts without a path to the backend servers.
#ifndef TESTS_PLATFORM_STRANDED_CONFIGURATION_H_
#define TESTS_PLATFORM_STRANDED_CONFIGURATION_H_

namespace comfreyvane::testing {

/// A route of idempotent requests, one of others, and one whose requests may
/// run in the first region only.
inline const char* const kStrandedConfiguration =
    R"({"Version":"00000001","Resources":[)"
    R"({"ResourceKind":"Routes","Metadata":{"Name":"reads"},"Spec":{)"
    R"("Host":"h","Prefix":"/r/","Kind":"idempotent","TimeoutMs":2000,)"
    R"("TargetLatencyMs":500,"Priority":1,"Service":"s","MaxAttempts":2}},)"
    R"({"ResourceKind":"Routes","Metadata":{"Name":"writes"},"Spec":{)"
    R"("Host":"h","Prefix":"/w/","Kind":"non_idempotent","TimeoutMs":2000,)"
    R"("TargetLatencyMs":500,"Priority":1,"Service":"s","MaxAttempts":2}},)"
    R"({"ResourceKind":"Routes","Metadata":{"Name":"homed"},"Spec":{)"
    R"("Host":"h","Prefix":"/h/","Kind":"non_idempotent","TimeoutMs":2000,)"
    R"("AllowedRegions":["region-0"],)"
    R"("TargetLatencyMs":500,"Priority":1,"Service":"s","MaxAttempts":2}},)"
    R"({"ResourceKind":"Services","Metadata":{"Name":"s"},"Spec":{)"
    R"("HealthPath":"/health","MaxConnections":330,"ColdStartS":3.0,)"
    R"("ColdPerS":8.9}},{"ResourceKind":"Tenants","Metadata":{"Name":"kandy"},)"
    R"("Spec":{"ApiKeys":["k1"],"RatePerS":5000,"Burst":5000}}]})";

}  // namespace comfreyvane::testing

#endif  // TESTS_PLATFORM_STRANDED_CONFIGURATION_H_
