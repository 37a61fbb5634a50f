/// @file
/// A thread that serves callers.
#ifndef COMFREYVANE_HOST_WORKER_H_
#define COMFREYVANE_HOST_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "comfreyvane/host/request_handler.h"
#include "comfreyvane/net/backend_pool.h"
#include "comfreyvane/net/caller_listener.h"
#include "comfreyvane/net/timeout_sweeper.h"

namespace comfreyvane {

/// One of the threads that serve callers, with its own connections.
class Worker {
 public:
  /// Opens the caller port, which all workers share.
  /// @param tls null for plain TCP.
  /// @throws boost::system::system_error if it cannot be opened.
  Worker(HostContext& context, asio::ssl::context* tls, std::uint64_t seed);

  /// Runs until Quit.
  void Run();

  /// Each answer from now on closes its connection. These three are safe to
  /// call from any thread.
  void BeginLeaving();
  void StopAccepting();
  /// Ends Run once the last answers have been taken, or soon after.
  void Quit();

 private:
  void Prune();

  asio::io_context io_;
  TimeoutSweeper sweeper_;
  BackendPool pool_;
  RequestHandler handler_;
  CallerListener<RequestHandler> listener_;
  asio::steady_timer prune_timer_;
  asio::steady_timer quit_timer_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_WORKER_H_
