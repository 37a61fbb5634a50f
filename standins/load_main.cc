/// @file
/// Load on one address: keep-alive connections, closed loop or paced.
#include <algorithm>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

struct Order {
  asio::ip::tcp::endpoint endpoint;
  std::string target;
  std::string key;
  int connections = 1;
  int seconds = 1;
  double rate = 0;  ///< Requests a second in all; 0: as fast as they go.
};

struct Tally {
  std::mutex mutex;
  std::vector<double> latencies_us;
  std::uint64_t failed = 0;
};

/// Sends requests on one connection until the end.
void Load(const Order& order, Clock::time_point end, Tally& tally) {
  std::vector<double> latencies;
  std::uint64_t failed = 0;
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect(order.endpoint);
  socket.set_option(asio::ip::tcp::no_delay(true));
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request(http::verb::get, order.target, 11);
  request.set(http::field::host, "load");
  if (!order.key.empty())
    request.set("X-Comfreyvane-Key", order.key);
  const auto gap =
      order.rate > 0
          ? std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double>(order.connections / order.rate))
          : Clock::duration::zero();
  auto next = Clock::now();
  while (Clock::now() < end) {
    if (gap > Clock::duration::zero()) {
      std::this_thread::sleep_until(next);
      next += gap;
    }
    const auto begun = Clock::now();
    http::write(socket, request);
    http::response<http::string_body> answer;
    http::read(socket, buffer, answer);
    const std::chrono::duration<double, std::micro> taken =
        Clock::now() - begun;
    latencies.push_back(taken.count());
    if (answer.result() != http::status::ok)
      ++failed;
  }
  const std::lock_guard lock(tally.mutex);
  tally.failed += failed;
  tally.latencies_us.insert(tally.latencies_us.end(), latencies.begin(),
                            latencies.end());
}

double Quantile(const std::vector<double>& sorted, double part) {
  if (sorted.empty())
    return 0;
  const auto index = static_cast<std::size_t>(part * (sorted.size() - 1));
  return sorted[index];
}

}  // namespace

/// Usage: comfreyvane-load ADDRESS PORT TARGET KEY CONNECTIONS SECONDS RATE
/// Prints requests/s, p50 and p99 in microseconds, and failed requests.
int main(int argc, char** argv) {
  if (argc != 8) {
    std::cerr << "usage: comfreyvane-load ADDRESS PORT TARGET KEY CONNECTIONS "
                 "SECONDS RATE\n";
    return EXIT_FAILURE;
  }
  const Order order{{asio::ip::make_address(argv[1]),
                     static_cast<std::uint16_t>(std::atoi(argv[2]))},
                    argv[3],
                    argv[4],
                    std::atoi(argv[5]),
                    std::atoi(argv[6]),
                    std::atof(argv[7])};
  Tally tally;
  const auto begun = Clock::now();
  const auto end = begun + std::chrono::seconds(order.seconds);
  {
    std::vector<std::jthread> threads;
    for (int i = 0; i < order.connections; ++i)
      threads.emplace_back([&] { Load(order, end, tally); });
  }
  const std::chrono::duration<double> taken = Clock::now() - begun;
  std::sort(tally.latencies_us.begin(), tally.latencies_us.end());
  std::cout << "requests/s\t" << tally.latencies_us.size() / taken.count()
            << "\np50 us\t" << Quantile(tally.latencies_us, 0.5) << "\np99 us\t"
            << Quantile(tally.latencies_us, 0.99) << "\nfailed\t"
            << tally.failed << '\n';
  return EXIT_SUCCESS;
}
