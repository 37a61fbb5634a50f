#include "soak/soak_server.h"

#include <fcntl.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <chrono>
#include <utility>

#include "comfreyvane/net/clock.h"
#include "soak/soak_bounds.h"
#include "soak/soak_request.h"

namespace comfreyvane::soak {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

/// Requests that may wait for each slot.
constexpr int kQueueOfSlot = 3;
constexpr std::uint64_t kMaxBody = 1U << 20U;
/// Pause between two pieces of an endless answer.
constexpr milliseconds kFloodPause{5};
constexpr Duration kDefaultDeadline = std::chrono::seconds(10);

template <typename View>
std::string Text(const View& view) {
  return {view.data(), view.size()};
}

std::optional<milliseconds> MillisecondsIn(std::string_view text) {
  int number = 0;
  const char* const end = text.data() + text.size();
  if (std::from_chars(text.data(), end, number).ptr != end || text.empty())
    return std::nullopt;
  return milliseconds(number);
}

/// @return the body of an answer to a request.
std::string BodyOf(const std::string& id) {
  return "ran " + id;
}

}  // namespace

SoakServer::SoakServer(asio::io_context& io,
                       std::string region,
                       std::uint64_t seed,
                       RunRecord& record)
    : io_(io),
      region_(std::move(region)),
      random_(seed),
      record_(record),
      acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
  fcntl(acceptor_.native_handle(), F_SETFD, FD_CLOEXEC);
  asio::co_spawn(io_, Accept(), asio::detached);
}

void SoakServer::Start(std::string name) {
  name_ = std::move(name);
  is_up_ = true;
  left_at_.reset();
}

void SoakServer::Leave() {
  left_at_ = MonotonicNow();
}

void SoakServer::Stop() {
  is_up_ = false;
  error_code ignored;
  for (const PeerPtr& peer : peers_) {
    peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    peer->socket.close(ignored);
  }
}

void SoakServer::NameLimit(std::optional<double> limit) {
  limit_ = limit;
  if (!limit)
    return;
  const std::lock_guard lock(record_.mutex);
  limited_span_ = record_.limited_spans.size();
  record_.limited_spans.push_back({*limit, {}, {}});
}

asio::awaitable<void> SoakServer::Accept() {
  while (acceptor_.is_open()) {
    auto peer = std::make_shared<Peer>(io_);
    const auto [error] = co_await acceptor_.async_accept(peer->socket, kAwait);
    if (error == asio::error::operation_aborted)
      co_return;
    if (error)
      continue;
    fcntl(peer->socket.native_handle(), F_SETFD, FD_CLOEXEC);
    error_code ignored;
    peer->socket.set_option(tcp::no_delay(true), ignored);
    if (!is_up_) {
      peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
      continue;
    }
    peers_.push_back(peer);
    asio::co_spawn(io_, Serve(peer), asio::detached);
  }
}

asio::awaitable<void> SoakServer::Serve(PeerPtr peer) {
  bool goes_on = true;
  while (goes_on) {
    Parser parser;
    parser.body_limit(kMaxBody);
    const auto [error, size] = co_await http::async_read_header(
        peer->socket, peer->buffer, parser, kAwait);
    goes_on = !error && co_await Handle(*peer, parser);
  }
  error_code ignored;
  peer->socket.close(ignored);
  peers_.remove(peer);
}

asio::awaitable<bool> SoakServer::Handle(Peer& peer, Parser& parser) {
  const std::string id = Text(parser.get()["X-Request-Id"]);
  const bool is_probe = parser.get().target() == "/health";
  const bool is_expected =
      is_probe || Text(parser.get()["X-Expect-Instance"]) == name_;
  const bool is_early =
      is_odd_ && !is_probe && is_expected && random_.Uniform() < 0.05;
  if (!is_early) {
    const auto [error, size] =
        co_await http::async_read(peer.socket, peer.buffer, parser, kAwait);
    if (error)
      co_return false;
  }
  if (is_probe) {
    const std::string status = left_at_ ? "503 -" : "200 -";
    co_return co_await Write(peer, Whole(status, id, "", false));
  }
  if (id.empty() || !is_expected)
    co_return co_await Write(peer, Refusal(id.empty() ? "400 -" : "421 -", id));
  NoteArrival(id);
  const bool goes_on = co_await Run(peer, parser, id);
  if (goes_on && is_early) {
    const auto [error, size] =
        co_await http::async_read(peer.socket, peer.buffer, parser, kAwait);
    if (error)
      co_return false;
    CheckBody(parser, id);
  } else if (!is_early) {
    CheckBody(parser, id);
  }
  co_return goes_on;
}

asio::awaitable<bool> SoakServer::Run(Peer& peer,
                                      Parser& parser,
                                      std::string id) {
  const Conduct conduct = DrawConduct();
  const TimePoint expiry =
      MonotonicNow() +
      MillisecondsIn(Text(parser.get()["X-Deadline-Ms"]))
          .value_or(std::chrono::duration_cast<milliseconds>(kDefaultDeadline));
  if (conduct == Conduct::kShed || waiting_ >= kQueueOfSlot * slots_)
    co_return co_await Write(peer, Refusal("503 -", id));
  if (!co_await WaitForSlot(expiry))
    co_return co_await Write(peer, Refusal("503 -", id));
  ++running_;
  NoteRun(parser, id);
  const std::string target = Text(parser.get().target());
  const Duration work =
      MillisecondsIn(std::string_view(target).substr(target.rfind('/') + 1))
          .value_or(milliseconds(0));
  co_await Wait(std::min<Duration>(work, expiry - MonotonicNow()));
  --running_;
  if (!peer.socket.is_open())
    NoteSpoilt(id);
  const bool is_head = parser.get().method() == http::verb::head;
  if (MonotonicNow() >= expiry)
    co_return co_await Write(peer, Whole("504 -", id, "late", is_head));
  if (is_head && conduct != Conduct::kBreakOff)
    co_return co_await Write(peer, Whole("200 OK", id, BodyOf(id), true));
  co_return co_await Answer(peer, conduct, id);
}

asio::awaitable<bool> SoakServer::Answer(Peer& peer,
                                         Conduct conduct,
                                         std::string id) {
  const std::string body = BodyOf(id);
  if (conduct == Conduct::kFail)
    co_return co_await Write(peer, Whole("500 -", id, "failed", false));
  if (conduct != Conduct::kServe)
    co_return co_await Spoil(peer, conduct, id);
  const auto framing =
      is_odd_ ? static_cast<Framing>(random_.Below(8)) : Framing::kLength;
  if (is_odd_ && random_.Uniform() < 0.05 &&
      !co_await Write(peer, "HTTP/1.1 100 Continue\r\n\r\n"))
    co_return false;
  const std::string head = HeadOf("200 OK", id);
  switch (framing) {
    case Framing::kChunked:
      co_return co_await Write(
          peer, head + "Transfer-Encoding: chunked\r\n\r\n4\r\nran \r\n" +
                    std::string(1, "0123456789abcdef"[id.size() % 16]) +
                    "\r\n" + id + "\r\n0\r\n\r\n");
    case Framing::kUntilClose:
      static_cast<void>(co_await Write(peer, head + "\r\n" + body));
      co_return false;
    case Framing::kClosing:
      static_cast<void>(co_await Write(
          peer, head + "Connection: close\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body));
      co_return false;
    default:
      co_return co_await Write(peer, Whole("200 OK", id, body, false));
  }
}

asio::awaitable<bool> SoakServer::Spoil(Peer& peer,
                                        Conduct conduct,
                                        std::string id) {
  NoteSpoilt(id);
  const std::string whole = Whole("200 OK", id, BodyOf(id), false);
  switch (conduct) {
    case Conduct::kTruncate:
      static_cast<void>(
          co_await Write(peer, whole.substr(0, whole.size() - 2)));
      co_return false;
    case Conduct::kGarble:
      static_cast<void>(co_await Write(peer, "\x01\x02 no answer\r\n\r\n"));
      co_return false;
    case Conduct::kAppend:
      co_return co_await Write(
          peer, whole + Whole("200 OK", "other", "ran other", false));
    case Conduct::kAppendLate: {
      const bool goes_on = co_await Write(peer, whole);
      co_await Wait(milliseconds(20));
      co_return goes_on&& co_await Write(peer, whole);
    }
    case Conduct::kEndlessInterim:
    case Conduct::kEndlessField:
    case Conduct::kEndlessBody:
      co_return co_await Flood(peer, conduct, id);
    default: {
      error_code ignored;
      peer.socket.set_option(asio::socket_base::linger(true, 0), ignored);
      co_return false;
    }
  }
}

asio::awaitable<bool> SoakServer::Flood(Peer& peer,
                                        Conduct conduct,
                                        std::string id) {
  std::string piece = "HTTP/1.1 100 Continue\r\n\r\n";
  std::string first;
  if (conduct == Conduct::kEndlessField) {
    first = HeadOf("200 OK", id) + "X-Long: ";
    piece = std::string(1024, 'a');
  } else if (conduct == Conduct::kEndlessBody) {
    first = HeadOf("200 OK", id) + "Transfer-Encoding: chunked\r\n\r\n";
    piece = "400\r\n" + std::string(1024, 'a') + "\r\n";
  }
  {
    const std::lock_guard lock(record_.mutex);
    ++record_.open_floods;
  }
  bool goes_on = co_await Write(peer, first);
  while (goes_on) {
    co_await Wait(kFloodPause);
    goes_on = co_await Write(peer, piece);
  }
  const std::lock_guard lock(record_.mutex);
  --record_.open_floods;
  co_return false;
}

asio::awaitable<bool> SoakServer::Write(Peer& peer, std::string text) {
  const auto [error, size] =
      co_await asio::async_write(peer.socket, asio::buffer(text), kAwait);
  co_return !error;
}

asio::awaitable<void> SoakServer::Wait(Duration span) {
  asio::steady_timer timer(io_);
  timer.expires_after(span);
  co_await timer.async_wait(kAwait);
}

asio::awaitable<bool> SoakServer::WaitForSlot(TimePoint expiry) {
  ++waiting_;
  while (running_ >= slots_ && MonotonicNow() < expiry)
    co_await Wait(milliseconds(2));
  --waiting_;
  co_return running_ < slots_;
}

Conduct SoakServer::DrawConduct() {
  const double luck = random_.Uniform();
  if (luck >= faults_)
    return Conduct::kServe;
  if (!is_odd_)
    return luck < 0.5 * faults_ ? Conduct::kShed : Conduct::kBreakOff;
  constexpr std::uint64_t kLast = static_cast<int>(Conduct::kEndlessBody);
  return static_cast<Conduct>(1 + random_.Below(kLast));
}

std::string SoakServer::HeadOf(const std::string& status,
                               const std::string& id) {
  std::string head = "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id +
                     "\r\nX-Server-Seal: seal\r\nX-Instance-Id: " + name_ +
                     "\r\nX-Server-Load: " + std::to_string(running_) + "," +
                     std::to_string(waiting_) + "," + std::to_string(slots_) +
                     "\r\n";
  if (limit_) {
    head += "Server-Limit: " + std::to_string(*limit_) + "\r\n";
    const std::lock_guard lock(record_.mutex);
    record_.limited_spans[limited_span_].answers.push_back(
        {MonotonicNow(), id});
  }
  if (is_odd_ && left_at_)
    head += "Server-Leaving: 1\r\n";
  return head;
}

std::string SoakServer::Whole(const std::string& status,
                              const std::string& id,
                              const std::string& body,
                              bool is_head) {
  return HeadOf(status, id) + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + (is_head ? "" : body);
}

std::string SoakServer::Refusal(const std::string& status,
                                const std::string& id) const {
  return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id +
         "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

void SoakServer::NoteArrival(const std::string& id) {
  const TimePoint now = MonotonicNow();
  const std::lock_guard lock(record_.mutex);
  if (limit_)
    record_.limited_spans[limited_span_].arrivals.push_back({now, id});
  if (left_at_ && now > *left_at_ + kDrainBound)
    record_.late_arrivals.push_back({id, name_, now, *left_at_});
}

void SoakServer::NoteRun(const Parser& parser, const std::string& id) {
  const auto& head = parser.get();
  const std::string summary = Text(head.method_string()) + " " +
                              Text(head.target()) + " " +
                              Text(head["X-Tenant"]);
  const TimePoint now = MonotonicNow();
  const std::lock_guard lock(record_.mutex);
  record_.runs[id].push_back({now, region_});
  if (head["X-Tenant"] == kLimitedWorkspace)
    record_.limited_runs.push_back(now);
  if (head.count("Authorization") != 0 || summary != head["X-Sent-As"]) {
    record_.violations.insert(id + ": reached a server changed, as " + summary);
  }
}

void SoakServer::NoteSpoilt(const std::string& id) {
  const std::lock_guard lock(record_.mutex);
  record_.spoilt.insert(id);
}

void SoakServer::CheckBody(const Parser& parser, const std::string& id) {
  const std::string& body = parser.get().body();
  bool is_sound = body.size() % id.size() == 0 &&
                  body.empty() == (parser.get().method() != http::verb::post);
  for (std::size_t at = 0; is_sound && at < body.size(); at += id.size())
    is_sound = body.compare(at, id.size(), id) == 0;
  if (is_sound)
    return;
  const std::lock_guard lock(record_.mutex);
  record_.violations.insert(id + ": its body reached a server changed");
}

}  // namespace comfreyvane::soak
