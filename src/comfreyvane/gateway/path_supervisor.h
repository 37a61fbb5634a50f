/// @file
/// Keeps track of a gateway's path to backend servers.
#ifndef COMFREYVANE_GATEWAY_PATH_SUPERVISOR_H_
#define COMFREYVANE_GATEWAY_PATH_SUPERVISOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <unordered_map>

#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/edge/path_change.h"
#include "comfreyvane/gateway/backend_client.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_dispatcher.h"
#include "comfreyvane/net/async.h"

namespace comfreyvane {

/// Applies the judgement of PathMonitor: tells the picker which servers are
/// reached, gives requests that wait for others a new way, and sends probes.
class PathSupervisor {
 public:
  PathSupervisor(GatewayContext& context,
                 asio::io_context& io,
                 TimeoutSweeper& sweeper,
                 GatewayDispatcher& dispatcher,
                 BackendClient& backend_client);

  /// Must be called periodically.
  void OnTick(TimePoint now);

 private:
  void LogChange(const PathChange& change) const;
  /// Takes what a probe needs.
  [[nodiscard]] bool TryProbe(BackendServerId server, TimePoint now);
  /// Sends a health check to a server over a connection of its own.
  [[nodiscard]] asio::awaitable<void> Probe(BackendEntry entry);
  /// @return whether an answer was received.
  [[nodiscard]] asio::awaitable<bool> Check(BackendConnection& connection,
                                            BackendEntry entry,
                                            Duration answer_time);
  /// Records the limit and the wait that the answer to a probe names. One that
  /// names none says nothing about their end: it is no answer to a request.
  void RecordNotice(const BackendEntry& entry,
                    const boost::beast::http::response_header<>& head,
                    TimePoint sent_at);

  GatewayContext& context_;
  asio::io_context& io_;
  TimeoutSweeper& sweeper_;
  GatewayDispatcher& dispatcher_;
  BackendClient& backend_client_;
  bool was_disturbed_ = false;
  /// Probes that have not ended, by server.
  std::unordered_map<BackendServerId, int> probing_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_PATH_SUPERVISOR_H_
