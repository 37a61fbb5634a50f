/// @file
/// Free ports for tests that run side by side.
#ifndef TESTS_SUPPORT_FREE_PORT_H_
#define TESTS_SUPPORT_FREE_PORT_H_

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace comfreyvane::testing {

/// @return a port of loopback that nothing listens on, below those that the
///     kernel gives to connections, so that none takes it before its use.
inline std::uint16_t FreePort() {
  constexpr int kFirst = 12'000;
  constexpr int kPorts = 18'000;
  constexpr int kStride = 97;  // Keeps processes with near identifiers apart.
  static int next = static_cast<int>(getpid()) * kStride % kPorts;
  boost::asio::io_context io;
  while (true) {
    next = (next + 1) % kPorts;
    const auto port = static_cast<std::uint16_t>(kFirst + next);
    boost::asio::ip::tcp::acceptor acceptor(io);
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4(), error);
    acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, error);
    if (!error)
      return port;
  }
}

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_FREE_PORT_H_
