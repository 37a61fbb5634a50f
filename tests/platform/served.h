/// @file
/// A stand-in with its listener.
#ifndef TESTS_PLATFORM_SERVED_H_
#define TESTS_PLATFORM_SERVED_H_

#include <cstdint>

#include "comfreyvane/net/caller_listener.h"

namespace comfreyvane::testing {

/// Listener on loopback that serves a stand-in.
template <typename Handler>
struct Served {
  Served(asio::io_context& io, TimeoutSweeper& sweeper, Handler& handler)
      : listener(io,
                 {asio::ip::address_v4::loopback(), 0},
                 PortSharing::kExclusive,
                 nullptr,
                 sweeper,
                 HttpLimits{},
                 handler) {
    listener.Start();
  }
  [[nodiscard]] std::uint16_t port() const {
    return listener.local_endpoint().port();
  }
  CallerListener<Handler> listener;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_PLATFORM_SERVED_H_
