/// @file
/// The process on an entry host.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <thread>

#include "comfreyvane/host/host_process.h"
#include "comfreyvane/log/log_session.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/settings/load_host_settings.h"
#include "comfreyvane/settings/load_or_explain.h"

namespace {

namespace options = boost::program_options;

constexpr int kBadUsage = 1;
constexpr int kBadSettings = 2;
constexpr int kCannotServe = 3;

/// @return a number that grows from one run of this host to the next.
comfreyvane::Incarnation NextIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return comfreyvane::Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count()));
}

int Serve(const comfreyvane::HostSettings& settings) {
  const comfreyvane::LogSession log(settings.log_level, std::cout);
  comfreyvane::HostProcess process(settings, NextIncarnation(),
                                   comfreyvane::MonotonicNow());
  boost::asio::io_context signals_io(1);
  boost::asio::signal_set signals(signals_io, SIGINT, SIGTERM);
  signals.async_wait([&process](const boost::system::error_code& error, int) {
    if (!error)
      process.Stop(comfreyvane::MonotonicNow());
  });
  std::thread waiter([&signals_io] { signals_io.run(); });
  process.Run();
  signals_io.stop();
  waiter.join();
  return EXIT_SUCCESS;
}

int LoadAndServe(const std::string& path, bool only_check) {
  const auto settings = comfreyvane::LoadOrExplain(
      [&path] { return comfreyvane::LoadHostSettings(path); }, std::cerr);
  if (!settings)
    return kBadSettings;
  return only_check ? EXIT_SUCCESS : Serve(*settings);
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description described(
      "comfreyvane: serves callers on an entry host.\n"
      "Exit codes: 0 stopped gracefully, or the settings are good; 1 bad\n"
      "command line; 2 bad settings; 3 a port or certificate cannot be used.\n"
      "Options");
  described.add_options()("help", "print this text")(
      "settings", options::value<std::string>(), "settings file, in INI")(
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
  if (given.count("settings") == 0) {
    std::cerr << "--settings is missing\n" << described;
    return kBadUsage;
  }
  // The reader of the log may go away.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return LoadAndServe(given["settings"].as<std::string>(),
                        given.count("check") > 0);
  } catch (const std::exception& error) {
    std::cerr << "cannot serve: " << error.what() << '\n';
    return kCannotServe;
  }
}
