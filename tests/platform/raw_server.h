/// @file
/// A backend server that writes arbitrary bytes.
#ifndef TESTS_PLATFORM_RAW_SERVER_H_
#define TESTS_PLATFORM_RAW_SERVER_H_

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "comfreyvane/net/async.h"

namespace comfreyvane::testing {

/// Accepts connections and passes each request's head to a script, which writes
/// arbitrary bytes. Blocking, with one thread per connection.
class RawServer {
 public:
  /// A connection to a caller, used by the script.
  class Peer {
   public:
    explicit Peer(tcp::socket socket) : socket_(std::move(socket)) {
      constexpr timeval kSocketTimeout{10, 0};
      setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO,
                 &kSocketTimeout, sizeof(kSocketTimeout));
      setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO,
                 &kSocketTimeout, sizeof(kSocketTimeout));
    }

    /// Reads a request's head.
    /// @return the head; empty if the connection was closed.
    [[nodiscard]] std::string ReadHead() {
      std::string head;
      char byte = 0;
      while (!head.ends_with("\r\n\r\n")) {
        if (recv(socket_.native_handle(), &byte, 1, 0) != 1)
          return {};
        head.push_back(byte);
      }
      return head;
    }

    /// @return false if the caller has closed the connection.
    bool Write(std::string_view bytes) {
      while (!bytes.empty()) {
        const auto size = send(socket_.native_handle(), bytes.data(),
                               bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
          return false;
        bytes.remove_prefix(static_cast<std::size_t>(size));
      }
      return true;
    }

    /// Writes the same bytes repeatedly, at most a thousand times per second,
    /// until the caller closes the connection.
    void WriteRepeatedly(std::string_view bytes) {
      while (Write(bytes))
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    /// Writes the same bytes as fast as the caller reads them, until it closes
    /// the connection.
    void WriteWithoutPause(std::string_view piece) {
      constexpr std::size_t kBlockBytes = 64 * 1024;
      std::string block;
      while (block.size() < kBlockBytes)
        block += piece;
      while (Write(block)) {
      }
    }

   private:
    tcp::socket socket_;
  };
  /// @param head head of the request.
  /// @return whether to keep the connection open.
  using Script = std::function<bool(Peer& peer, const std::string& head)>;

  explicit RawServer(Script script)
      : script_(std::move(script)),
        acceptor_(io_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Accept(); }) {}
  ~RawServer() {
    stopped_ = true;
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    for (std::thread& connection : connections_)
      connection.join();
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }
  [[nodiscard]] int requests() const { return requests_; }
  /// @return number of connections that have ended.
  [[nodiscard]] int ended() const { return ended_; }

 private:
  void Accept() {
    while (!stopped_) {
      error_code error;
      tcp::socket socket(io_);
      acceptor_.accept(socket, error);
      if (error)
        return;
      connections_.emplace_back(
          [this, peer = Peer(std::move(socket))]() mutable { Serve(peer); });
    }
  }

  void Serve(Peer& peer) {
    while (!stopped_) {
      const std::string head = peer.ReadHead();
      if (head.empty())
        break;
      ++requests_;
      if (!script_(peer, head))
        break;
    }
    ++ended_;
  }

  Script script_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<int> ended_ = 0;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

/// @return the value of a header field; empty if it is missing.
inline std::string FieldOf(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos)
    return {};
  const auto begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace comfreyvane::testing

#endif  // TESTS_PLATFORM_RAW_SERVER_H_
