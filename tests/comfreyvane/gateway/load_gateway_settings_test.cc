#include "comfreyvane/gateway/load_gateway_settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <sstream>

#include "comfreyvane/settings/settings_errors.h"
#include "support/criterion.h"

using namespace comfreyvane;

namespace {

const std::string kGood =
    "[host]\nname = edge-1\nfailure_domain = west-a\nregion = west\n"
    "memory_mb = 260\nnew_setting = 1\n"
    "[domains]\nwest-a = west\neast-a = east\n"
    "[listen]\ncallers = 10.0.0.1:80\nreadiness = 10.0.0.1:81\n"
    "lookups = 10.0.0.1:82\npeers = 10.0.0.1:83\n"
    "[platform]\naddress = 10.0.0.9:90\n[retries]\nratio = 0.2\nslack = 56\n"
    "[stop]\ngrace_s = 4.5\n[lookups]\nmost_ttl_s = 1\n"
    "[regions]\nmost_shift = 0.3\n";

struct Loaded {
  GatewaySettings settings;
  std::vector<SettingsError> errors;
};

Loaded Load(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Loaded> {
        std::istringstream in(text);
        BOOST_LEAF_AUTO(settings, ReadGatewaySettings(in, "file"));
        return Loaded{settings, {}};
      },
      [](const SettingsErrors& errors) {
        return Loaded{{}, errors.errors};
      },
      [] { return Loaded{}; });
}

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kGood;
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace

Test(load_gateway_settings, reads_all_settings) {
  const Loaded loaded = Load(kGood);
  cr_assert(loaded.errors.empty());
  cr_expect(loaded.settings.name == "edge-1");
  cr_expect(loaded.settings.callers == Endpoint({"10.0.0.1", 80}));
  cr_expect(loaded.settings.platform.port == 90);
  cr_expect(loaded.settings.domains.at("east-a") == "east");
  cr_expect_eq(loaded.settings.memory_mb, 260U);
  cr_expect(loaded.settings.grace == std::chrono::milliseconds(4500));
  cr_expect(loaded.settings.max_lookup_ttl == std::chrono::seconds(1));
  cr_expect(loaded.settings.max_shift == 0.3);
}

Test(load_gateway_settings, reports_each_error_with_its_line) {
  struct Case {
    std::string text;
    std::string name;
    std::size_t line;
    SettingsErrorKind kind;
  };
  const std::vector<Case> cases{
      {Replaced("name = edge-1\n", ""), "host.name", 0,
       SettingsErrorKind::kMissing},
      {Replaced("edge-1", "edge 1"), "host.name", 2,
       SettingsErrorKind::kNotAName},
      {Replaced("10.0.0.1:80", "10.0.0.1"), "listen.callers", 11,
       SettingsErrorKind::kNotAnIpAddress},
      {Replaced("10.0.0.1:80", "10.0.0.1:0"), "listen.callers", 11,
       SettingsErrorKind::kNotAPort},
      {Replaced("10.0.0.1:80", "host:80"), "listen.callers", 11,
       SettingsErrorKind::kNotAnIpAddress},
      {Replaced("260", "0"), "host.memory_mb", 5,
       SettingsErrorKind::kOutOfRange},
      {Replaced("0.2", "-1"), "retries.ratio", 18,
       SettingsErrorKind::kOutOfRange},
      {Replaced("0.2", "much"), "retries.ratio", 18,
       SettingsErrorKind::kNotANumber},
      {Replaced("region = west\n", "region = west\nregion = east\n"),
       "host.region", 5, SettingsErrorKind::kDuplicate},
      {Replaced("[retries]\n", "[retries]\nnonsense\n"), "", 18,
       SettingsErrorKind::kSyntax},
  };
  for (const Case& c : cases) {
    const Loaded loaded = Load(c.text);
    cr_assert_eq(loaded.errors.size(), 1U, "%s", c.name.c_str());
    cr_expect(
        loaded.errors[0] == SettingsError({"file", c.line, c.name, c.kind}),
        "%s at line %zu", loaded.errors[0].name.c_str(), loaded.errors[0].line);
  }
}
