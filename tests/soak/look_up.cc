#include "soak/look_up.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <boost/json/parse.hpp>
#include <chrono>
#include <exception>
#include <string>

#include "soak/answer_reader.h"

namespace comfreyvane::soak {
namespace {

constexpr timeval kTimeout{1, 0};
constexpr unsigned kOk = 200;

/// @return a socket that is connected to a port on loopback, or -1.
int Connected(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof(kTimeout));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0)
    return descriptor;
  close(descriptor);
  return -1;
}

/// @throws std::exception if the text is no answer to a look-up.
LookUpAnswer Parsed(const std::string& text) {
  LookUpAnswer answer;
  const boost::json::value value = boost::json::parse(text);
  for (const boost::json::value& address : value.at("Addresses").as_array()) {
    const std::string place(address.as_string());
    answer.ports.push_back(static_cast<std::uint16_t>(
        std::stoul(place.substr(place.rfind(':') + 1))));
  }
  answer.time_to_live = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value.at("TtlS").to_number<double>()));
  return answer;
}

}  // namespace

std::optional<LookUpAnswer> AskForHosts(std::uint16_t port) {
  const int descriptor = Connected(port);
  if (descriptor < 0)
    return std::nullopt;
  const std::string text =
      "GET /-/resolve?Name=h&Region=west&Zone=west-a HTTP/1.1\r\nHost: h\r\n"
      "Connection: close\r\n\r\n";
  send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
  AnswerReader reader;
  Answer answer;
  ReadState state = ReadState::kIncomplete;
  std::array<char, 4096> piece;
  while ((state = reader.Next(false, answer)) == ReadState::kIncomplete) {
    const auto size = recv(descriptor, piece.data(), piece.size(), 0);
    if (size <= 0)
      break;
    reader.Add({piece.data(), static_cast<std::size_t>(size)});
  }
  close(descriptor);
  if (state != ReadState::kComplete || answer.status != kOk)
    return std::nullopt;
  try {
    LookUpAnswer parsed = Parsed(answer.body);
    return parsed.ports.empty() ? std::nullopt : std::optional(parsed);
  } catch (const std::exception&) {
    // Another host is asked.
    return std::nullopt;
  }
}

}  // namespace comfreyvane::soak
