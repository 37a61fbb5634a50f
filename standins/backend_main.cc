/// @file
/// The backend server stand-in as a process.
#include <cstdlib>
#include <iostream>

#include "standins/backend_handler.h"
#include "standins/standin_server.h"

/// Usage: comfreyvane-standin-backend NAME ADDRESS PORT
int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: comfreyvane-standin-backend NAME ADDRESS PORT\n";
    return EXIT_FAILURE;
  }
  boost::asio::io_context io(1);
  comfreyvane::standin::BackendHandler handler(io, argv[1]);
  const auto port = static_cast<std::uint16_t>(std::atoi(argv[3]));
  comfreyvane::standin::StandinServer<comfreyvane::standin::BackendHandler>
      server(io, {boost::asio::ip::make_address(argv[2]), port}, handler);
  server.RunUntilSignal();
  return EXIT_SUCCESS;
}
