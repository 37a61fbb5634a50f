/// @file
/// The platform stand-in as a process.
#include <cstdlib>
#include <iostream>

#include "standins/platform_handler.h"
#include "standins/standin_server.h"

/// Usage: comfreyvane-standin-platform ADDRESS PORT
int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: comfreyvane-standin-platform ADDRESS PORT\n";
    return EXIT_FAILURE;
  }
  boost::asio::io_context io(1);
  comfreyvane::standin::PlatformState state;
  comfreyvane::standin::PlatformHandler handler(io, state);
  const auto port = static_cast<std::uint16_t>(std::atoi(argv[2]));
  comfreyvane::standin::StandinServer<comfreyvane::standin::PlatformHandler>
      server(io, {boost::asio::ip::make_address(argv[1]), port}, handler);
  server.RunUntilSignal();
  return EXIT_SUCCESS;
}
