/// @file
/// Requests changes of the store's tables from other hosts.
#ifndef COMFREYVANE_GATEWAY_RELAY_CLIENT_H_
#define COMFREYVANE_GATEWAY_RELAY_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "comfreyvane/edge/fleet_host.h"
#include "comfreyvane/edge/relay_answer.h"
#include "comfreyvane/edge/relay_call.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/http_client.h"

namespace comfreyvane {

/// Requests changes of the store's tables from other hosts. Calls and
/// answers are authenticated with the fleet's secret.
class RelayClient {
 public:
  /// @param first_nonce differs between runs of this host.
  RelayClient(GatewayState& state,
              asio::io_context& io,
              TimeoutSweeper& sweeper,
              std::uint64_t first_nonce)
      : state_(state), io_(io), sweeper_(sweeper), nonce_(first_nonce) {}

  /// Sends a call and waits for its answer.
  /// @param call the call; its nonce is overwritten.
  /// @param on_progress called when a part of the answer has arrived.
  [[nodiscard]] asio::awaitable<RelayAnswer> RequestChanges(
      FleetHost host,
      RelayCall call,
      std::function<void()> on_progress);

 private:
  [[nodiscard]] HttpClient* GetClient(const FleetHost& host);

  GatewayState& state_;
  asio::io_context& io_;
  TimeoutSweeper& sweeper_;
  std::uint64_t nonce_;
  std::unordered_map<HostId, std::unique_ptr<HttpClient>> clients_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_RELAY_CLIENT_H_
