/// @file
/// Tests that entries of other writers neither end a host nor keep it from
/// following the store.
#include <string>
#include <vector>

#include "platform/deployment.h"
#include "platform/eventually.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;

namespace {

/// Number of checks at intervals of 10 ms: 3 s.
constexpr int kTries = 300;

constexpr std::size_t kDepth = 60'000;

std::string Nested(const std::string& open, const std::string& close) {
  std::string text;
  for (std::size_t i = 0; i < kDepth; ++i)
    text += open;
  for (std::size_t i = 0; i < kDepth; ++i)
    text += close;
  return text;
}

/// @return an entry whose address, slots and time of start are given.
std::string Entry(const std::string& port,
                  const std::string& slots,
                  const std::string& born) {
  return R"({"Address":"127.0.0.1:)" + port +
         R"(","Info":{"Service":"s","Version":"v1","Zone":"west-a","Slots":)" +
         slots +
         R"(},"Status":{"State":"ready","Seq":1,"ColdRemainingMs":0},"born":)" +
         born + "}";
}

std::vector<std::string> OddValues() {
  return {Nested("[", "]"),
          Nested(R"({"Info":)", "}"),
          Nested("[", ""),
          Entry("70000", "8", "1"),
          Entry("-1", "8", "1"),
          Entry("99999999999999999999", "8", "1"),
          Entry("80", "1e999", "1"),
          Entry("80", "-1", "1"),
          Entry("80", "99999999999999999999", "1"),
          Entry("80", "8", "1e999"),
          Entry("80", "8", "99999999999999999999"),
          Entry("80", "8", "-99999999999999999999"),
          "\xff\xfe",
          "",
          "1e999",
          "null"};
}

}  // namespace

Test(odd_entries, do_not_end_a_host_or_its_following, .timeout = 120) {
  constexpr std::size_t kGateways = 2;
  Deployment deployment(kGateways);
  int version = 1;
  for (const std::string& value : OddValues()) {
    ++version;
    const std::string number = std::to_string(version);
    const std::string path = "/p" + number + "/";
    deployment.OnStandins([&] {
      for (const std::string table : {"servers", "hosts", "op"})
        deployment.store.Put(table, "odd-" + number, value);
      deployment.store.Put("op", "evacuate/odd-" + number, value);
      deployment.store.Put(
          "op", "config",
          Configuration(std::string(8 - number.size(), '0') + number, path));
    });
    for (std::size_t i = 0; i < kGateways; ++i)
      cr_expect(Serves(deployment, i, path, kTries), "%.60s", value.c_str());
  }
}
