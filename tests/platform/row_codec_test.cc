#include "platform/row_codec.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::platform;

namespace {

namespace json = boost::json;

const std::string kServer =
    R"({"Address":"10.128.0.9:8080","Info":{"Service":"huvo11a",)"
    R"("Version":"v1","Zone":"west-a","Slots":8},"Status":{"State":"ready",)"
    R"("Seq":4,"ColdRemainingMs":1200},"born":1772364150000})";

const std::string kConfiguration =
    R"({"Version":"0000000c","BaseVersion":"00000005","Resources":[)"
    R"({"ResourceKind":"Routes","Metadata":{"Name":"r-1"},"Spec":{)"
    R"("Host":"hulo84.example","Prefix":"/leny950/","Kind":"idempotent",)"
    R"("TimeoutMs":1200,"TargetLatencyMs":600,"Priority":2,)"
    R"("TrafficSplit":[{"Service":"a","Weight":90},)"
    R"({"Service":"b","Weight":10}],"MaxAttempts":2,"Public":false,)"
    R"("Sticky":true,"AllowedRegions":["west"]}},)"
    R"({"ResourceKind":"Services","Metadata":{"Name":"a"},"Spec":{)"
    R"("HealthPath":"/health","MaxConnections":330,"Protocol":"h1",)"
    R"("Tls":false,"ColdStartS":3.0,"ColdPerS":8.9}},)"
    R"({"ResourceKind":"Tenants","Metadata":{"Name":"cuka620"},"Spec":{)"
    R"("ApiKeys":["k1","k2"],"Priority":1,"RatePerS":147,"Burst":147,)"
    R"("AllowedRegions":[]}},)"
    R"({"ResourceKind":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,)"
    R"("MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,)"
    R"("IdleTimeoutMs":15000}}]})";

TableRow RowOf(const std::string& key, const std::string& value) {
  return {key, value, Revision(1)};
}

bool IsServer(const json::value& value) {
  const auto row = DecodeBackendRow(RowOf("i-1", json::serialize(value)));
  return std::holds_alternative<BackendEntry>(row);
}

bool IsConfiguration(const json::value& value) {
  const auto row = DecodeOperatorRow(RowOf("config", json::serialize(value)));
  return std::holds_alternative<std::shared_ptr<const RouteTable>>(row);
}

/// Values that are invalid for the fields of a backend server's entry.
std::vector<json::value> InvalidValues() {
  return {nullptr,
          true,
          -1,
          1.5,
          -9007199254740993LL,
          1e300,
          json::array{},
          "\x01",
          json::object{{"a", 1}}};
}

struct Field {
  std::string parent;  ///< Empty for the top level.
  std::string name;
};

json::object& ObjectOf(json::value& value, const Field& field) {
  json::object& top = value.as_object();
  return field.parent.empty() ? top : top.at(field.parent).as_object();
}

}  // namespace

Test(row_codec, decodes_a_backend_server) {
  const auto row = DecodeBackendRow(RowOf("i-7f3a91c2", kServer));
  cr_assert(std::holds_alternative<BackendEntry>(row));
  const auto& entry = std::get<BackendEntry>(row);
  cr_expect(entry.name == "i-7f3a91c2");
  cr_expect(entry.service == ServiceId::Of("huvo11a"));
  cr_expect(entry.address == "10.128.0.9" && entry.port == 8080);
  cr_expect(entry.failure_domain == FailureDomainId::Of("west-a"));
  cr_expect_eq(entry.slots, 8U);
  cr_expect(!entry.draining);
  cr_expect(entry.cold_for == std::chrono::milliseconds(1200));
  cr_expect_eq(entry.started_ms, 1772364150000);
}

Test(row_codec, rejects_a_server_with_an_invalid_field) {
  const std::vector<Field> fields{
      {"", "Address"},     {"", "Info"},      {"", "Status"},
      {"Info", "Service"}, {"Info", "Zone"},  {"Info", "Slots"},
      {"Status", "State"}, {"Status", "Seq"}, {"Status", "ColdRemainingMs"}};
  int rejected = 0;
  for (const Field& field : fields) {
    json::value missing = json::parse(kServer);
    ObjectOf(missing, field).erase(field.name);
    cr_expect(!IsServer(missing), "%s missing", field.name.c_str());
    ++rejected;
    for (const json::value& invalid : InvalidValues()) {
      json::value changed = json::parse(kServer);
      ObjectOf(changed, field)[field.name] = invalid;
      // Any text is a valid name of a service or failure domain.
      const bool any_text = invalid.is_string() &&
                            (field.name == "Service" || field.name == "Zone");
      if (any_text)
        continue;
      cr_expect(!IsServer(changed), "%s = %s", field.name.c_str(),
                json::serialize(invalid).c_str());
      ++rejected;
    }
  }
  for (const char* address :
       {"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "host:80",
        "10.0.0.256:80", "10.0.0.1:80x", ":80", "[::1]:80", ""}) {
    json::value changed = json::parse(kServer);
    changed.as_object()["Address"] = address;
    cr_expect(!IsServer(changed), "%s", address);
    ++rejected;
  }
  for (const json::value& born :
       std::vector<json::value>{true, -1, 1.5, "1", json::array{}}) {
    json::value changed = json::parse(kServer);
    changed.as_object()["born"] = born;
    cr_expect(!IsServer(changed), "born %s", json::serialize(born).c_str());
    ++rejected;
  }
  for (const char* text : {"", "{", "[]", "null", "1", "\"a\"", "{}",
                           "\xff\xfe", "{\"Address\":}"}) {
    const auto row = DecodeBackendRow(RowOf("i-1", text));
    cr_expect(std::holds_alternative<RowFault>(row), "%s", text);
    ++rejected;
  }
  cr_expect(rejected >= 100, "%d", rejected);
}

Test(row_codec, decodes_a_configuration) {
  const auto row = DecodeOperatorRow(RowOf("config", kConfiguration));
  cr_assert(std::holds_alternative<std::shared_ptr<const RouteTable>>(row));
  const auto& table = *std::get<std::shared_ptr<const RouteTable>>(row);
  cr_expect_eq(table.version(), 12U);
  const EdgeRoute* const route = table.Find("hulo84.example", "/leny950/2f");
  cr_assert(route != nullptr);
  cr_expect(route->idempotent && route->sticky && !route->open);
  cr_expect(route->timeout == std::chrono::milliseconds(1200));
  cr_expect(route->objective == std::chrono::milliseconds(600));
  cr_expect_eq(route->services.size(), 2U);
  cr_expect(route->regions == std::vector<RegionId>({RegionId::Of("west")}));
  const EdgeWorkspace* const workspace = table.WorkspaceOf("k2");
  cr_assert(workspace != nullptr);
  cr_expect(workspace->name == "cuka620");
  cr_expect(std::abs(workspace->rate - 147.0) < 1e-9);
  cr_expect(table.FindService(ServiceId::Of("a"))->cold_time ==
            std::chrono::seconds(3));
  cr_expect_eq(table.limits().header_bytes, 16384U);
}

Test(row_codec, rejects_a_configuration_with_an_invalid_field) {
  struct SpecField {
    std::size_t resource;
    std::string name;
  };
  const std::vector<SpecField> fields{
      {0, "Host"},           {0, "Prefix"},     {0, "Kind"},
      {0, "TimeoutMs"},      {0, "Priority"},   {0, "TargetLatencyMs"},
      {0, "MaxAttempts"},    {1, "ColdStartS"}, {1, "ColdPerS"},
      {1, "MaxConnections"}, {2, "ApiKeys"},    {3, "MaxHeaderBytes"},
      {3, "IdleTimeoutMs"}};
  const std::vector<json::value> invalid{true, -1, json::object{{"a", 1}}};
  int rejected = 0;
  for (const SpecField& field : fields) {
    const auto spec_of = [&field](json::value& value) -> json::object& {
      return value.as_object()
          .at("Resources")
          .as_array()
          .at(field.resource)
          .as_object()
          .at("Spec")
          .as_object();
    };
    for (const json::value& other : invalid) {
      json::value changed = json::parse(kConfiguration);
      spec_of(changed)[field.name] = other;
      cr_expect(!IsConfiguration(changed), "%s", field.name.c_str());
      ++rejected;
    }
    json::value missing = json::parse(kConfiguration);
    spec_of(missing).erase(field.name);
    cr_expect(!IsConfiguration(missing), "%s missing", field.name.c_str());
    ++rejected;
  }
  for (const char* version : {"", "x", "0000000g", "-1", "1 "}) {
    json::value changed = json::parse(kConfiguration);
    changed.as_object()["Version"] = version;
    cr_expect(!IsConfiguration(changed), "version %s", version);
    ++rejected;
  }
  cr_expect(rejected >= 50, "%d", rejected);
}

Test(row_codec, decodes_evacuations_and_rejects_unknown_keys) {
  const auto row = DecodeOperatorRow(RowOf("evacuate/west-a", "{}"));
  cr_assert(std::holds_alternative<EvacuatedDomain>(row));
  cr_expect(std::get<EvacuatedDomain>(row).failure_domain == "west-a");
  const auto other = DecodeOperatorRow(RowOf("something", "{}"));
  cr_expect(std::get<RowFault>(other) == RowFault::kUnknownKey);
}

Test(row_codec, handles_corrupted_rows) {
  RandomSource random(1);
  for (const std::string& text : {kServer, kConfiguration}) {
    for (int i = 0; i < 4000; ++i) {
      std::string changed = text;
      changed[random.Below(changed.size())] =
          static_cast<char>(random.Below(256));
      static_cast<void>(DecodeBackendRow(RowOf("i-1", changed)));
      static_cast<void>(DecodeOperatorRow(RowOf("config", changed)));
    }
  }
}
