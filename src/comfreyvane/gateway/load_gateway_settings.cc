#include "comfreyvane/gateway/load_gateway_settings.h"

#include <boost/leaf/error.hpp>
#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <charconv>
#include <fstream>
#include <functional>
#include <istream>
#include <sstream>
#include <utility>
#include <vector>

#include "comfreyvane/settings/setting_parsers.h"
#include "comfreyvane/settings/settings_error.h"
#include "comfreyvane/settings/settings_errors.h"

namespace comfreyvane {
namespace {

namespace options = boost::program_options;

constexpr std::uint32_t kMaxMemoryMb = 1024 * 1024;
constexpr double kMaxDecimal = 1000.0;
constexpr std::uint32_t kMaxMilliseconds = 3'600'000;
constexpr std::string_view kDomainsPrefix = "domains.";

using Parse = std::function<ParseFault(const std::string&, GatewaySettings&)>;

struct Row {
  std::string_view name;
  bool required;
  Parse parse;
};

ParseFault ParseEndpoint(const std::string& text, Endpoint& out) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return SettingsErrorKind::kNotAnIpAddress;
  if (auto fault = ParseListenAddress(text.substr(0, colon), out.address))
    return fault;
  return ParsePort(text.substr(colon + 1), out.port);
}

ParseFault ParseDecimal(const std::string& text, double& out) {
  double value = 0.0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end)
    return SettingsErrorKind::kNotANumber;
  if (!(value >= 0.0 && value <= kMaxDecimal))
    return SettingsErrorKind::kOutOfRange;
  out = value;
  return std::nullopt;
}

ParseFault ParseSeconds(const std::string& text, Duration& out) {
  double seconds = 0.0;
  const ParseFault fault = ParseDecimal(text, seconds);
  if (!fault) {
    out = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
  }
  return fault;
}

ParseFault ParseMilliseconds(const std::string& text, Duration& out) {
  std::uint32_t milliseconds = 0;
  const ParseFault fault =
      ParseNumber<std::uint32_t>(text, 1, kMaxMilliseconds, milliseconds);
  if (!fault)
    out = std::chrono::milliseconds(milliseconds);
  return fault;
}

template <typename Parser, typename Member>
Parse Into(Parser parser, Member member) {
  return [=](const std::string& text, GatewaySettings& settings) {
    return parser(text, settings.*member);
  };
}

const std::vector<Row>& Rows() {
  using S = GatewaySettings;
  static const std::vector<Row> kRows{
      {"host.name", true, Into(ParseName, &S::name)},
      {"host.failure_domain", true, Into(ParseName, &S::failure_domain)},
      {"host.region", true, Into(ParseName, &S::region)},
      {"host.memory_mb", false,
       [](const std::string& text, S& settings) {
         return ParseNumber<std::uint32_t>(text, 1, kMaxMemoryMb,
                                           settings.memory_mb);
       }},
      {"host.processor_share", false, Into(ParseDecimal, &S::processor_share)},
      {"listen.callers", true, Into(ParseEndpoint, &S::callers)},
      {"listen.readiness", true, Into(ParseEndpoint, &S::readiness)},
      {"listen.lookups", true, Into(ParseEndpoint, &S::lookups)},
      {"listen.peers", true, Into(ParseEndpoint, &S::peers)},
      {"listen.metrics", false, Into(ParseEndpoint, &S::metrics)},
      {"platform.address", true, Into(ParseEndpoint, &S::platform)},
      {"log.level", false, Into(ParseLevel, &S::log_level)},
      {"stop.grace_s", false, Into(ParseSeconds, &S::grace)},
      {"lookups.most_ttl_s", false, Into(ParseSeconds, &S::max_lookup_ttl)},
      {"regions.most_shift", false, Into(ParseDecimal, &S::max_shift)},
      {"configuration.max_age_ms", false,
       Into(ParseMilliseconds, &S::max_configuration_age)},
      {"limits.overage", false,
       [](const std::string& text, S& settings) {
         return ParseDecimal(text, settings.limits.overage);
       }},
      {"limits.slack", false,
       [](const std::string& text, S& settings) {
         return ParseDecimal(text, settings.limits.slack);
       }},
      {"limits.window_s", false,
       [](const std::string& text, S& settings) {
         return ParseSeconds(text, settings.limits.window);
       }},
      {"retries.ratio", false, Into(ParseDecimal, &S::retry_ratio)},
      {"retries.slack", false, Into(ParseDecimal, &S::retry_slack)},
  };
  return kRows;
}

class Reader {
 public:
  explicit Reader(std::string file) : file_(std::move(file)) {}

  void Read(std::istream& in) {
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
      ++number;
      ReadLine(line, number);
    }
    for (const Row& row : Rows()) {
      if (row.required && !lines_.contains(std::string(row.name)))
        Add(0, std::string(row.name), SettingsErrorKind::kMissing);
    }
    if (!settings_.domains.contains(settings_.failure_domain))
      settings_.domains[settings_.failure_domain] = settings_.region;
  }

  [[nodiscard]] const GatewaySettings& settings() const { return settings_; }
  [[nodiscard]] std::vector<SettingsError> errors() const { return errors_; }

 private:
  /// Parses a single line, since Boost.Program_options does not report line
  /// numbers.
  void ReadLine(const std::string& line, std::size_t number) {
    if (line.starts_with('[')) {
      section_ = line;
      return;
    }
    std::istringstream in(section_ + '\n' + line + '\n');
    try {
      const auto parsed =
          options::parse_config_file(in, options::options_description(), true);
      for (const auto& option : parsed.options) {
        const std::string value =
            option.value.empty() ? std::string() : option.value.front();
        ReadSetting(option.string_key, value, number);
      }
    } catch (const options::error&) {
      Add(number, "", SettingsErrorKind::kSyntax);
    }
  }

  void ReadSetting(const std::string& name,
                   const std::string& text,
                   std::size_t number) {
    if (!lines_.emplace(name, number).second) {
      Add(number, name, SettingsErrorKind::kDuplicate);
      return;
    }
    if (name.starts_with(kDomainsPrefix)) {
      const ParseFault fault = ParseName(
          text, settings_.domains[name.substr(kDomainsPrefix.size())]);
      if (fault)
        Add(number, name, *fault);
      return;
    }
    for (const Row& row : Rows()) {
      if (row.name != name)
        continue;
      if (const ParseFault fault = row.parse(text, settings_))
        Add(number, name, *fault);
    }
  }

  void Add(std::size_t line, const std::string& name, SettingsErrorKind kind) {
    errors_.push_back({file_, line, name, kind});
  }

  std::string file_;
  std::string section_;
  std::map<std::string, std::size_t> lines_;
  GatewaySettings settings_;
  std::vector<SettingsError> errors_;
};

}  // namespace

boost::leaf::result<GatewaySettings> ReadGatewaySettings(
    std::istream& in,
    const std::string& file) {
  Reader reader(file);
  reader.Read(in);
  SettingsErrors errors{reader.errors()};
  if (!errors.errors.empty())
    return boost::leaf::new_error(std::move(errors));
  return reader.settings();
}

boost::leaf::result<GatewaySettings> LoadGatewaySettings(
    const std::filesystem::path& path) {
  std::ifstream file(path);
  if (!file) {
    return boost::leaf::new_error(SettingsErrors{
        {{path.string(), 0, "", SettingsErrorKind::kFileUnreadable}}});
  }
  return ReadGatewaySettings(file, path.string());
}

}  // namespace comfreyvane
