/// @file
/// Tests connections whose other end always has bytes ready.
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "comfreyvane/net/backend_connection.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/http_client.h"
#include "comfreyvane/net/timeout_sweeper.h"
#include "support/criterion.h"

namespace comfreyvane {
namespace {

using Failure = ExchangeFailure;
using std::chrono::milliseconds;

constexpr Duration kTimeout = milliseconds(200);

/// Far beyond kTimeout, for slow machines.
constexpr Duration kGuard = std::chrono::seconds(5);

const std::string kInterim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Accepts one connection and writes bytes until the other end closes it.
class EndlessPeer {
 public:
  /// @param first written once.
  /// @param piece written again and again.
  EndlessPeer(const std::string& first, const std::string& piece)
      : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}),
        socket_(io_),
        thread_([this, first, piece] { Write(first, piece); }) {}
  ~EndlessPeer() {
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
  }
  EndlessPeer(const EndlessPeer&) = delete;
  EndlessPeer& operator=(const EndlessPeer&) = delete;

  [[nodiscard]] tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }

 private:
  void Write(std::string bytes, const std::string& piece) {
    constexpr std::size_t kBlockBytes = 64 * 1024;
    error_code error;
    acceptor_.accept(socket_, error);
    while (!error) {
      while (bytes.size() < kBlockBytes)
        bytes += piece;
      asio::write(socket_, asio::buffer(bytes), error);
      bytes.clear();
    }
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::thread thread_;
};

/// A host with a connection to the peer, on an event loop.
class Host {
 public:
  explicit Host(const EndlessPeer& peer)
      : peer_(peer.endpoint()),
        sweeper_(io_),
        connection_(io_, sweeper_),
        client_(io_, sweeper_, peer_) {
    sweeper_.Start();
  }

  /// Reads an answer until it ends, fails or is cancelled.
  /// @return whether it ended.
  [[nodiscard]] bool ReadsToItsEnd(TimePoint deadline) {
    return RunsToItsEnd(Read(deadline));
  }
  /// @return whether the call ended.
  [[nodiscard]] bool CallsToItsEnd(TimePoint deadline) {
    return RunsToItsEnd(Call(deadline));
  }

  /// Cancels once the head has been read.
  void CancelAfterHead() { cancels_ = true; }
  /// Counts how often others have their turn during the answer.
  void TakeTurns() {
    most_between_turns = std::max(most_between_turns, reads - reads_at_turn_);
    reads_at_turn_ = reads;
    asio::post(io_, [this] { TakeTurns(); });
  }

  [[nodiscard]] const BackendConnection& connection() const {
    return connection_;
  }

  Failure failure = Failure::kNone;
  HttpCallResult result;
  Duration took{};
  int reads = 0;
  int most_between_turns = 0;

 private:
  bool RunsToItsEnd(asio::awaitable<void> body) {
    bool has_ended = false;
    const TimePoint begun = MonotonicNow();
    asio::co_spawn(io_, std::move(body), [&](const std::exception_ptr&) {
      has_ended = true;
      io_.stop();
    });
    io_.run_for(kGuard);
    took = MonotonicNow() - begun;
    return has_ended;
  }

  asio::awaitable<void> Read(TimePoint deadline) {
    failure = co_await connection_.Connect(peer_, deadline);
    if (failure == Failure::kNone)
      failure = co_await connection_.ReadHead(false, deadline);
    if (cancels_)
      connection_.Cancel();
    std::array<char, 1024> piece;
    // What has been received already may still be delivered.
    constexpr int kMaxReads = 1'000'000;
    for (; failure == Failure::kNone && (!cancels_ || reads < kMaxReads);
         ++reads)
      failure = (co_await connection_.ReadBody(piece, deadline)).failure;
  }

  asio::awaitable<void> Call(TimePoint deadline) {
    HttpCall call;
    result = co_await client_.Call(std::move(call), deadline);
  }

  tcp::endpoint peer_;
  asio::io_context io_{1};
  TimeoutSweeper sweeper_;
  BackendConnection connection_;
  HttpClient client_;
  bool cancels_ = false;
  int reads_at_turn_ = 0;
};

Test(endless_peer, a_body_is_read_beyond_the_deadline) {
  EndlessPeer peer(kChunked, "4\r\naaaa\r\n");
  Host host(peer);
  cr_expect(host.ReadsToItsEnd(MonotonicNow() + kTimeout));
  cr_expect(host.failure == Failure::kTimeout);
}

Test(endless_peer, interim_answers_are_passed_over_for_ever) {
  EndlessPeer peer({}, kInterim);
  Host host(peer);
  cr_expect(host.ReadsToItsEnd(TimePoint::max()));
  cr_expect(host.failure == Failure::kMalformed);
}

Test(endless_peer, a_cancelled_attempt_reads_on) {
  EndlessPeer peer(kChunked, "4\r\naaaa\r\n");
  Host host(peer);
  host.CancelAfterHead();
  cr_expect(host.ReadsToItsEnd(TimePoint::max()));
  cr_expect(host.failure == Failure::kTimeout);
  cr_expect(!host.connection().reusable());
}

Test(endless_peer, a_call_lasts_beyond_its_deadline) {
  EndlessPeer peer(kChunked, "1\r\na\r\n");
  Host host(peer);
  cr_expect(host.CallsToItsEnd(MonotonicNow() + kTimeout));
  cr_expect(host.result.status == HttpCallStatus::kNoAnswer);
  cr_expect(host.took < kGuard / 2);
}

Test(endless_peer, others_have_no_turn_between_its_reads) {
  EndlessPeer peer(kChunked, "2000\r\n" + std::string(0x2000, 'a') + "\r\n");
  Host host(peer);
  host.TakeTurns();
  cr_expect(host.ReadsToItsEnd(MonotonicNow() + kTimeout));
  cr_expect(host.reads > 1);
  cr_expect(host.most_between_turns <= 1, "%d reads in a row",
            host.most_between_turns);
}

}  // namespace
}  // namespace comfreyvane
