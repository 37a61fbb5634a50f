/// @file
/// Tests exit codes and error messages of a failed start.
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "comfreyvane/net/async.h"
#include "processes/child_process.h"
#include "support/criterion.h"
#include "support/free_port.h"

using namespace comfreyvane;

namespace {

struct Outcome {
  std::optional<int> code;
  std::string output;
};

/// Runs the program until it exits.
/// @param callers value of the setting listen.callers.
Outcome RunWith(const std::string& callers) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "gateway-start-XXXXXX")
          .string();
  const std::filesystem::path folder = mkdtemp(pattern.data());
  const std::string settings = (folder / "gateway.ini").string();
  std::ofstream(settings) << "[host]\nname = e\nfailure_domain = a\n"
                             "region = r\n[listen]\ncallers = "
                          << callers
                          << "\nreadiness = 127.0.0.1:" << testing::FreePort()
                          << "\nlookups = 127.0.0.1:" << testing::FreePort()
                          << "\npeers = 127.0.0.1:" << testing::FreePort()
                          << "\n[platform]\naddress = 127.0.0.1:1\n";
  const std::string log = (folder / "log").string();
  Outcome outcome;
  {
    processes::ChildProcess process(
        {COMFREYVANE_GATEWAY, "--settings", settings}, log);
    outcome.code = process.Wait();
  }
  std::ostringstream text;
  text << std::ifstream(log).rdbuf();
  outcome.output = text.str();
  std::filesystem::remove_all(folder);
  return outcome;
}

}  // namespace

Test(gateway_start, reports_a_port_in_use, .timeout = 20) {
  asio::io_context io;
  tcp::acceptor taken(io, {asio::ip::address_v4::loopback(), 0});
  const Outcome outcome =
      RunWith("127.0.0.1:" + std::to_string(taken.local_endpoint().port()));
  cr_expect(outcome.code == 3, "%d", outcome.code.value_or(-1));
  cr_expect(outcome.output.find("cannot serve: ") != std::string::npos, "%s",
            outcome.output.c_str());
}

Test(gateway_start, reports_an_invalid_setting, .timeout = 20) {
  const Outcome outcome = RunWith("nowhere");
  cr_expect(outcome.code == 2, "%d", outcome.code.value_or(-1));
  cr_expect(outcome.output.find("listen.callers") != std::string::npos, "%s",
            outcome.output.c_str());
}
