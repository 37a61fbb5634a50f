/// @file
/// A blocking TCP connection on loopback with HTTP framing.
#ifndef REVIEW_STANDINS_CONNECTION_H_
#define REVIEW_STANDINS_CONNECTION_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace review {

/// @return the address of a port on loopback.
inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// @return the value of a header field; empty if it is missing.
inline std::string FieldOf(std::string_view head, std::string_view name) {
  const std::string start = "\r\n" + std::string(name) + ": ";
  const auto at = head.find(start);
  if (at == std::string_view::npos)
    return {};
  const auto begin = at + start.size();
  return std::string(head.substr(begin, head.find("\r\n", begin) - begin));
}

/// A blocking connection that reads HTTP messages. Used by one thread.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @return a descriptor that is connected to a port on loopback, or -1.
  static int Open(std::uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = LoopbackAddress(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0)
      return descriptor;
    close(descriptor);
    return -1;
  }

  [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
  [[nodiscard]] int descriptor() const { return descriptor_; }

  /// Bounds each read and write from now on.
  void SetTimeout(std::chrono::milliseconds timeout) const {
    const auto ms = timeout.count();
    const timeval value{ms / 1000, (ms % 1000) * 1000};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
    setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
  }

  void Close() {
    if (descriptor_ >= 0)
      close(descriptor_);
    descriptor_ = -1;
  }

  /// @return false if the other end has closed the connection.
  [[nodiscard]] bool Write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const auto size =
          send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (size <= 0)
        return false;
      bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }

  /// @return the next line sequence up to and with an empty line, or nothing if
  ///     the connection ends before or time runs out.
  [[nodiscard]] std::optional<std::string> ReadHead() {
    std::size_t end = 0;
    while ((end = held_.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore())
        return std::nullopt;
    }
    return Take(end + 4);
  }

  /// @return the next bytes, or nothing if the connection ends before.
  [[nodiscard]] std::optional<std::string> ReadBytes(std::size_t size) {
    while (held_.size() < size) {
      if (!ReadMore())
        return std::nullopt;
    }
    return Take(size);
  }

  /// @return the body of a message with a length, or nothing if it breaks off.
  [[nodiscard]] std::optional<std::string> ReadBody(std::string_view head) {
    const std::string length = FieldOf(head, "Content-Length");
    return ReadBytes(length.empty() ? 0 : std::stoul(length));
  }

  /// Reads what has arrived.
  /// @return false if the connection has ended or time has run out.
  [[nodiscard]] bool ReadMore() {
    char bytes[65536];
    const auto size = recv(descriptor_, bytes, sizeof(bytes), 0);
    has_ended_ = size == 0 || (size < 0 && errno != EAGAIN);
    if (size <= 0)
      return false;
    held_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  /// @return whether the other end has closed or reset the connection.
  [[nodiscard]] bool has_ended() const { return has_ended_; }

  /// @return what has been read and not taken.
  [[nodiscard]] const std::string& held() const { return held_; }
  void Discard() { held_.clear(); }

 private:
  [[nodiscard]] std::string Take(std::size_t size) {
    std::string taken = held_.substr(0, size);
    held_.erase(0, size);
    return taken;
  }

  int descriptor_;
  bool has_ended_ = false;
  std::string held_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_CONNECTION_H_
