/// @file
/// Tests what a lost reader of the log does to the gateway.
#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "processes/child_process.h"
#include "support/criterion.h"
#include "support/free_port.h"

using namespace comfreyvane;

namespace {

/// Reads until a text arrives.
/// @return whether it has arrived.
bool ReadUntil(int descriptor, const std::string& text) {
  constexpr int kGuardMs = 10'000;
  std::string all;
  std::array<char, 4096> bytes;
  while (all.find(text) == std::string::npos) {
    pollfd ready{descriptor, POLLIN, 0};
    const auto size = poll(&ready, 1, kGuardMs) > 0
                          ? read(descriptor, bytes.data(), bytes.size())
                          : 0;
    if (size <= 0)
      return false;
    all.append(bytes.data(), static_cast<std::size_t>(size));
  }
  return true;
}

}  // namespace

Test(gateway_log, a_reader_that_goes_away_ends_the_process, .timeout = 40) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "gateway-log-XXXXXX").string();
  const std::filesystem::path folder = mkdtemp(pattern.data());
  const std::string settings = (folder / "gateway.ini").string();
  const auto port = [] {
    return "127.0.0.1:" + std::to_string(testing::FreePort());
  };
  std::ofstream(settings) << "[host]\nname = e\nfailure_domain = a\n"
                             "region = r\n[listen]\ncallers = "
                          << port() << "\nreadiness = " << port()
                          << "\nlookups = " << port() << "\npeers = " << port()
                          << "\n[platform]\naddress = 127.0.0.1:1\n";
  const std::string log = (folder / "log").string();
  cr_assert_eq(mkfifo(log.c_str(), 0600), 0);
  // Programs inherit an ignored signal.
  std::signal(SIGPIPE, SIG_DFL);
  const int reader = open(log.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  processes::ChildProcess process({COMFREYVANE_GATEWAY, "--settings", settings},
                                  log);
  // The other end is open once there are bytes.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  cr_expect(ReadUntil(reader, "started"));
  close(reader);
  process.Signal(SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  process.Signal(SIGTERM);
  const std::optional<int> code = process.Wait();
  cr_expect(code == 0, "%d", code.value_or(-1));
  std::filesystem::remove_all(folder);
}
