/// @file
/// Measures the processor time that one endless connection costs.
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <thread>

#include "comfreyvane/net/backend_connection.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/timeout_sweeper.h"

using namespace comfreyvane;

namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(1500);
constexpr Duration kGuard = std::chrono::seconds(6);

double Milliseconds(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

/// @return processor time of this thread, in milliseconds.
double ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

/// Takes each turn that the event loop gives it.
/// @param longest receives the most processor time between two turns, in ms.
asio::awaitable<void> TakeTurns(double& longest) {
  double last = ProcessorTime();
  for (;;) {
    co_await asio::post(asio::use_awaitable);
    const double present = ProcessorTime();
    longest = std::max(longest, present - last);
    last = present;
  }
}

asio::awaitable<void> ReadAnswer(BackendConnection& connection,
                                 tcp::endpoint peer,
                                 TimePoint deadline) {
  std::array<char, 16384> piece;
  if (co_await connection.Connect(peer, deadline) != ExchangeFailure::kNone ||
      co_await connection.ReadHead(false, deadline) != ExchangeFailure::kNone)
    co_return;
  while ((co_await connection.ReadBody(piece, deadline)).failure ==
         ExchangeFailure::kNone) {
  }
}

/// An answer that begins with some bytes and repeats others without end.
struct EndlessAnswer {
  const char* name;
  std::string first;
  std::string piece;
};

/// Whether another task asks for its turns beside the one that reads.
enum class Neighbour { kNone, kTakesTurns };

struct Cost {
  double took_ms = 0.0;
  double processor_ms = 0.0;
  double longest_turn_ms = 0.0;  ///< 0 without a neighbour.
};

void Send(tcp::acceptor& acceptor, const EndlessAnswer& answer) {
  tcp::socket socket = acceptor.accept();
  constexpr std::size_t kBlockBytes = 64 * 1024;
  std::string block = answer.first;
  error_code error;
  while (!error) {
    while (block.size() < kBlockBytes)
      block += answer.piece;
    asio::write(socket, asio::buffer(block), error);
    block.clear();
  }
}

Cost Read(const EndlessAnswer& answer, Neighbour neighbour) {
  asio::io_context peer_io;
  tcp::acceptor acceptor(peer_io, {asio::ip::address_v4::loopback(), 0});
  std::thread writer([&] { Send(acceptor, answer); });
  Cost cost;
  {
    asio::io_context io(1);
    TimeoutSweeper sweeper(io);
    sweeper.Start();
    BackendConnection connection(io, sweeper);
    const double before = ProcessorTime();
    const TimePoint begun = MonotonicNow();
    asio::co_spawn(
        io, ReadAnswer(connection, acceptor.local_endpoint(), begun + kTimeout),
        [&](const std::exception_ptr&) { io.stop(); });
    if (neighbour == Neighbour::kTakesTurns)
      asio::co_spawn(io, TakeTurns(cost.longest_turn_ms), asio::detached);
    io.run_for(kGuard);
    cost.took_ms = Milliseconds(MonotonicNow() - begun);
    cost.processor_ms = ProcessorTime() - before;
    connection.Close();
  }
  writer.join();
  return cost;
}

/// Prints what an answer costs alone, and how long it keeps others waiting.
void Measure(const EndlessAnswer& answer) {
  const Cost alone = Read(answer, Neighbour::kNone);
  const Cost beside = Read(answer, Neighbour::kTakesTurns);
  std::printf(
      "%s: ended after %.0f ms (timeout %.0f ms), processor %.1f ms, at most "
      "%.2f ms of it in one turn\n",
      answer.name, alone.took_ms, Milliseconds(kTimeout), alone.processor_ms,
      beside.longest_turn_ms);
}

}  // namespace

int main() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  Measure({"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"});
  Measure({"head", ok, "X-More: " + std::string(100, 'a') + "\r\n"});
  Measure({"body, chunks of 8 KiB", chunked,
           "2000\r\n" + std::string(0x2000, 'a') + "\r\n"});
  Measure({"body, chunks of one byte", chunked, "1\r\na\r\n"});
  Measure({"extension of a chunk", chunked + "1;", "a"});
}
