/// @file
/// Measures the processor time that one endless connection costs.
#include <sys/resource.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
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
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto of = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e3 +
           static_cast<double>(time.tv_usec) / 1e3;
  };
  return of(usage.ru_utime) + of(usage.ru_stime);
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

/// Prints what an answer costs that begins with some bytes and repeats others.
void Measure(const char* name, std::string first, const std::string& piece) {
  asio::io_context peer_io;
  tcp::acceptor acceptor(peer_io, {asio::ip::address_v4::loopback(), 0});
  std::thread writer([&] {
    tcp::socket socket = acceptor.accept();
    constexpr std::size_t kBlockBytes = 64 * 1024;
    error_code error;
    while (!error) {
      while (first.size() < kBlockBytes)
        first += piece;
      asio::write(socket, asio::buffer(first), error);
      first.clear();
    }
  });
  double used = 0.0;
  Duration took{};
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
    io.run_for(kGuard);
    took = MonotonicNow() - begun;
    used = ProcessorTime() - before;
    connection.Close();
  }
  writer.join();
  std::printf("%s: ended after %.0f ms (timeout %.0f ms), processor %.1f ms\n",
              name, Milliseconds(took), Milliseconds(kTimeout), used);
}

}  // namespace

int main() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  Measure("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n");
  Measure("head", ok, "X-More: " + std::string(100, 'a') + "\r\n");
  Measure("body, chunks of 8 KiB", chunked,
          "2000\r\n" + std::string(0x2000, 'a') + "\r\n");
  Measure("body, chunks of one byte", chunked, "1\r\na\r\n");
  Measure("extension of a chunk", chunked + "1;", "a");
}
