#include "soak/soak_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

#include "comfreyvane/net/clock.h"
#include "soak/soak_bounds.h"

namespace comfreyvane::soak {
namespace {

/// Longer than callers wait.
constexpr timeval kGuard{3, 0};

constexpr unsigned kOk = 200;

/// Judges an answer against its request.
void Judge(const Answer& answer, RequestEnd& end) {
  const std::string& id = end.request.id;
  end.status = answer.status;
  end.is_own_answer = answer.Field("x-server-seal").empty();
  end.is_intact = answer.Field("x-request-id") == id;
  if (end.status == kOk) {
    end.is_intact =
        end.is_intact && !end.is_own_answer &&
        answer.Field("x-server-seal") == "seal" &&
        (end.request.method == Method::kHead || answer.body == "ran " + id);
  }
}

}  // namespace

bool SoakClient::Connect() {
  if (is_open())
    return true;
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
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

std::string SoakClient::TakeIdleBytes() {
  std::array<char, 256> bytes;
  if (!is_open())
    return {};
  const auto size = recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
    Close();
  return size > 0 ? std::string(bytes.data(), static_cast<std::size_t>(size))
                  : std::string();
}

RequestEnd SoakClient::Begin(const SoakRequest& request) const {
  RequestEnd end;
  end.request = request;
  end.host = host_;
  end.sent = end.ended = MonotonicNow();
  return end;
}

RequestEnd SoakClient::Ask(const SoakRequest& request) {
  return AskAll({request}).front();
}

RequestEnd SoakClient::Abandon(const SoakRequest& request) {
  RequestEnd end = Begin(request);
  if (Connect()) {
    const std::string text = request.Text();
    static_cast<void>(send(socket_, text.data(), text.size(), MSG_NOSIGNAL));
  }
  Close();
  end.is_abandoned = true;
  return end;
}

std::vector<RequestEnd> SoakClient::AskAll(
    const std::vector<SoakRequest>& requests) {
  std::string idle_bytes = TakeIdleBytes();
  const bool is_connected = Connect();
  std::vector<RequestEnd> ends;
  std::string text;
  for (const SoakRequest& request : requests) {
    ends.push_back(Begin(request));
    ends.back().is_pipelined = ends.size() > 1;
    text += request.Text();
  }
  ends.front().foreign_bytes = std::move(idle_bytes);
  if (!is_connected)
    return ends;
  const bool was_sent = send(socket_, text.data(), text.size(), MSG_NOSIGNAL) ==
                        static_cast<ssize_t>(text.size());
  AnswerReader reader;
  bool is_behind_close = false;
  bool is_given_up = false;
  for (RequestEnd& end : ends) {
    end.was_sent = was_sent;
    end.is_behind_close = is_behind_close;
    end.is_abandoned = is_given_up;
    if (is_open())
      ReadAnswer(end, reader);
    is_behind_close = is_behind_close || (end.status != 0 && !is_open());
    // The caller closes a connection with bytes that it cannot read.
    is_given_up = is_given_up || end.is_unanswered ||
                  (end.status == 0 && !end.foreign_bytes.empty());
    end.ended = MonotonicNow();
  }
  if (ends.back().status != 0)
    ends.back().foreign_bytes += reader.rest();
  return ends;
}

void SoakClient::ReadAnswer(RequestEnd& end, AnswerReader& reader) {
  const TimePoint expiry = end.sent + end.request.deadline + kAnswerSlack;
  Answer answer;
  ReadState state = ReadState::kIncomplete;
  const bool is_head = end.request.method == Method::kHead;
  while ((state = reader.Next(is_head, answer)) == ReadState::kIncomplete) {
    if (!ReadMore(end, expiry, reader))
      break;
  }
  // A body that ends with its connection is complete only now.
  if (state == ReadState::kIncomplete)
    state = reader.Next(is_head, answer);
  if (state == ReadState::kMalformed)
    end.foreign_bytes += reader.rest();
  if (state == ReadState::kComplete)
    Judge(answer, end);
  if (state != ReadState::kComplete || !answer.keeps_connection)
    Close();
}

bool SoakClient::ReadMore(RequestEnd& end,
                          TimePoint expiry,
                          AnswerReader& reader) {
  std::array<char, 16384> piece;
  const auto left = (expiry - MonotonicNow()) / std::chrono::milliseconds(1);
  pollfd ready{socket_, POLLIN, 0};
  if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) {
    end.is_unanswered = true;
    return false;
  }
  const auto size = recv(socket_, piece.data(), piece.size(), 0);
  if (size == 0)
    reader.End();
  if (size > 0)
    reader.Add({piece.data(), static_cast<std::size_t>(size)});
  return size > 0;
}

}  // namespace comfreyvane::soak
