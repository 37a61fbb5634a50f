/// @file
/// The gateway on an entry host.
#include <unistd.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <ostream>
#include <random>
#include <string>

#include "comfreyvane/gateway/gateway_process.h"
#include "comfreyvane/gateway/load_gateway_settings.h"
#include "comfreyvane/log/bounded_output.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/log/log_session.h"
#include "comfreyvane/settings/load_or_explain.h"
#include "platform/gateway_platform.h"
#include "platform/settings_path.h"

namespace {

namespace options = boost::program_options;

constexpr int kBadUsage = 1;
constexpr int kBadSettings = 2;
constexpr int kCannotServe = 3;

/// Log lines that are held for a slow reader.
constexpr std::size_t kLogBytes = 256 * 1024;

std::uint64_t NewIncarnation() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

int Serve(const comfreyvane::GatewaySettings& settings,
          const std::string& path) {
  comfreyvane::BoundedOutput output(STDOUT_FILENO, kLogBytes);
  std::ostream lines(&output);
  const comfreyvane::LogSession log(settings.log_level, lines);
  const std::uint64_t incarnation = NewIncarnation();
  comfreyvane::GatewayProcess<comfreyvane::platform::GatewayPlatform> process(
      settings, path, incarnation, output);
  comfreyvane::Log(comfreyvane::LogLevel::kInfo, "started",
                   {{"host", settings.name},
                    {"failure_domain", settings.failure_domain},
                    {"region", settings.region},
                    {"incarnation", incarnation}});
  process.Run();
  // Everything is answered. The logging library's threads would be waited for.
  std::_Exit(EXIT_SUCCESS);
}

int LoadAndServe(const std::string& path, bool only_check) {
  const auto settings = comfreyvane::LoadOrExplain(
      [&path] { return comfreyvane::LoadGatewaySettings(path); }, std::cerr);
  if (!settings)
    return kBadSettings;
  return only_check ? EXIT_SUCCESS : Serve(*settings, path);
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description described(
      "comfreyvane-gateway: serves callers of a platform on an entry host.\n"
      "Exit codes: 0 stopped gracefully, or the settings are good; 1 bad\n"
      "command line; 2 bad settings; 3 a port cannot be used.\n"
      "Options");
  described.add_options()("help", "print this text")(
      "settings", options::value<std::string>(),
      "settings file, in INI; by default the one that the platform names")(
      "check", "only check the settings");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(argc, argv, described), given);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n' << described;
    return kBadUsage;
  }
  if (given.count("help") > 0) {
    std::cout << described;
    return EXIT_SUCCESS;
  }
  const std::string path = given.count("settings") > 0
                               ? given["settings"].as<std::string>()
                               : comfreyvane::platform::SettingsPath();
  if (path.empty()) {
    std::cerr << "--settings is missing\n" << described;
    return kBadUsage;
  }
  // The reader of the log may go away.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return LoadAndServe(path, given.count("check") > 0);
  } catch (const std::exception& error) {
    std::cerr << "cannot serve: " << error.what() << '\n';
    return kCannotServe;
  }
}
