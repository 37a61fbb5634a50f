/// @file
/// Accepts connections on loopback.
#ifndef REVIEW_STANDINS_LISTENER_H_
#define REVIEW_STANDINS_LISTENER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include "standins/connection.h"

namespace review {

/// Accepts connections on a free port of loopback and serves each on a thread
/// of its own.
class Listener {
 public:
  /// @param serve returns when the connection is over.
  explicit Listener(std::function<void(Connection&)> serve)
      : serve_(std::move(serve)),
        descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = LoopbackAddress(0);
    socklen_t size = sizeof(address);
    auto* const any = reinterpret_cast<sockaddr*>(&address);
    constexpr int kBacklog = 1024;
    if (bind(descriptor_, any, size) != 0 ||
        listen(descriptor_, kBacklog) != 0 ||
        getsockname(descriptor_, any, &size) != 0)
      throw std::runtime_error("no port on loopback");
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Listener() { Stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  [[nodiscard]] std::uint16_t port() const { return port_; }

  /// Closes the port and all connections, and waits for their threads.
  void Stop() {
    if (stopped_.exchange(true))
      return;
    shutdown(descriptor_, SHUT_RDWR);
    acceptor_.join();
    close(descriptor_);
    {
      const std::lock_guard lock(mutex_);
      for (const int open : open_)
        shutdown(open, SHUT_RDWR);
    }
    for (std::thread& thread : threads_)
      thread.join();
  }

 private:
  void Accept() {
    while (true) {
      const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        return;
      const std::lock_guard lock(mutex_);
      open_.insert(accepted);
      threads_.emplace_back([this, accepted] { Serve(accepted); });
    }
  }

  void Serve(int accepted) {
    Connection connection(accepted);
    serve_(connection);
    const std::lock_guard lock(mutex_);
    open_.erase(accepted);
    connection.Close();
  }

  std::function<void(Connection&)> serve_;
  int descriptor_;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_LISTENER_H_
