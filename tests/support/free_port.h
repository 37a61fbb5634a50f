/// @file
/// Free ports for tests that run side by side.
#ifndef TESTS_SUPPORT_FREE_PORT_H_
#define TESTS_SUPPORT_FREE_PORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace comfreyvane::testing {

/// @return a port of loopback that nothing listens on.
inline std::uint16_t FreePort() {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_FREE_PORT_H_
