/// @file
/// Store as one host reads it.
#ifndef TESTS_PLATFORM_STORE_VIEW_H_
#define TESTS_PLATFORM_STORE_VIEW_H_

#include <functional>
#include <string>
#include <utility>

#include "platform/store_standin.h"

namespace comfreyvane::testing {

/// Port in the entries of backend servers that a StoreView replaces.
inline const char* const kViewedPort = "127.0.0.1:0";

/// Store as one host reads it: the entries of backend servers have the ports of
/// that host's proxies. Servers are named "i-NUMBER".
class StoreView {
 public:
  /// @param port_of returns the port for a server's number.
  StoreView(StoreStandin& store,
            std::function<std::uint16_t(std::size_t)> port_of)
      : store_(store), port_of_(std::move(port_of)) {}

  template <typename Exchange>
  asio::awaitable<bool> Handle(Exchange& exchange) {
    StoreStandin::Rewrite rewrite =
        [this](const std::string& table, const std::string& key,
               const std::string& value) { return Viewed(table, key, value); };
    co_return co_await store_.Handle(exchange, std::move(rewrite));
  }
  template <typename Exchange>
  asio::awaitable<void> Refuse(Exchange& exchange, RefusalReason reason) {
    co_await store_.Refuse(exchange, reason);
  }

 private:
  [[nodiscard]] std::string Viewed(const std::string& table,
                                   const std::string& key,
                                   std::string value) const {
    const std::string viewed = kViewedPort;
    if (table != "servers")
      return value;
    const std::size_t server = std::stoul(key.substr(2));
    return value.replace(value.find(viewed), viewed.size(),
                         "127.0.0.1:" + std::to_string(port_of_(server)));
  }

  StoreStandin& store_;
  std::function<std::uint16_t(std::size_t)> port_of_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_PLATFORM_STORE_VIEW_H_
