#include "soak/soak_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "comfreyvane/net/clock.h"

namespace comfreyvane::soak {
namespace {

/// Longer than callers wait: a gateway answers by then.
constexpr timeval kGuard{3, 0};

constexpr unsigned kOk = 200;

}  // namespace

bool SoakClient::Connect() {
  if (socket_ >= 0)
    return true;
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &kGuard, sizeof(kGuard));
  setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &kGuard, sizeof(kGuard));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port_);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0)
    return true;
  Close();
  return false;
}

void SoakClient::Close() {
  if (socket_ >= 0)
    close(socket_);
  socket_ = -1;
}

RequestEnd SoakClient::Ask(const std::string& id, const std::string& path) {
  namespace http = boost::beast::http;
  RequestEnd end;
  end.id = id;
  end.idempotent = path.starts_with("/r/");
  end.ended = MonotonicNow();
  if (!Connect())
    return end;
  const std::string text =
      std::string(end.idempotent ? "GET " : "POST ") + path +
      " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\nX-Request-Id: " +
      id + "\r\nX-Deadline-Ms: 1500\r\nCookie: X-Affinity-Key=" +
      std::to_string(id.size() + static_cast<unsigned char>(id.back())) +
      (end.idempotent ? "\r\n\r\n" : "\r\nContent-Length: 2\r\n\r\nhi");
  end.was_sent = send(socket_, text.data(), text.size(), MSG_NOSIGNAL) ==
                 static_cast<ssize_t>(text.size());
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  std::string held;
  std::array<char, 4096> piece;
  boost::system::error_code error;
  while (end.was_sent && !parser.is_done()) {
    const auto size = recv(socket_, piece.data(), piece.size(), 0);
    if (size <= 0)
      break;
    held.append(piece.data(), static_cast<std::size_t>(size));
    const auto used = parser.put(boost::asio::buffer(held), error);
    if (error && error != http::error::need_more)
      break;
    held.erase(0, used);
  }
  end.ended = MonotonicNow();
  if (!parser.is_done()) {
    Close();
    return end;
  }
  const auto& answer = parser.get();
  end.status = answer.result_int();
  end.is_intact = held.empty() && answer["X-Request-Id"] == id;
  if (end.status == kOk) {
    end.is_intact = end.is_intact && answer["X-Server-Seal"] == "seal" &&
                    answer.body() == "ran " + id;
  }
  if (!answer.keep_alive())
    Close();
  return end;
}

}  // namespace comfreyvane::soak
