/// @file
/// What a client knows of the machines to connect to.
#ifndef REVIEW_STANDINS_DIRECTORY_H_
#define REVIEW_STANDINS_DIRECTORY_H_

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "standins/connection.h"
#include "standins/record.h"

namespace review {

/// Asks machines where to connect, and keeps the answer for its TtlS or three
/// times as long, as PROTOCOL.md describes it. Used by one thread.
class Directory {
 public:
  /// @param is_patient whether it keeps answers for three times TtlS.
  Directory(std::string zone, bool is_patient, unsigned seed)
      : zone_(std::move(zone)), factor_(is_patient ? 3 : 1), random_(seed) {}

  /// @param machines ports of the directory, of which three are tried.
  /// @return the port of a machine to connect to; nothing if none is known.
  [[nodiscard]] std::optional<std::uint16_t> Pick(
      const std::vector<std::uint16_t>& machines) {
    const auto now = Clock::now();
    if (now >= expires_at_)
      Resolve(machines, now);
    if (ports_.empty())
      return std::nullopt;
    return ports_[random_() % ports_.size()];
  }

  /// Passes over an address that has failed until the next answer.
  void OnFailed(std::uint16_t port) {
    std::erase(ports_, port);
    if (ports_.empty())
      expires_at_ = {};
  }

 private:
  void Resolve(const std::vector<std::uint16_t>& machines,
               Clock::time_point now) {
    constexpr std::size_t kTries = 3;
    const std::size_t first = random_() % machines.size();
    for (std::size_t i = 0; i < kTries; ++i) {
      if (Ask(machines[(first + i) % machines.size()], now))
        return;
    }
  }

  bool Ask(std::uint16_t machine, Clock::time_point now) {
    Connection connection(Connection::Open(machine));
    connection.SetTimeout(std::chrono::seconds(1));
    if (!connection.is_open() ||
        !connection.Write("GET /-/resolve?Name=h&Region=west&Zone=" + zone_ +
                          " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
      return false;
    const auto head = connection.ReadHead();
    const auto body = head ? connection.ReadBody(*head) : std::nullopt;
    if (!body || !head->starts_with("HTTP/1.1 200"))
      return false;
    const boost::json::value answer = boost::json::parse(*body);
    ports_.clear();
    for (const auto& address : answer.at("Addresses").as_array()) {
      const std::string text(address.as_string());
      ports_.push_back(static_cast<std::uint16_t>(
          std::stoul(text.substr(text.rfind(':') + 1))));
    }
    const std::chrono::duration<double> ttl(
        answer.at("TtlS").to_number<double>() * factor_);
    expires_at_ = now + std::chrono::duration_cast<Clock::duration>(ttl);
    return !ports_.empty();
  }

  std::string zone_;
  int factor_;
  std::minstd_rand random_;
  std::vector<std::uint16_t> ports_;
  Clock::time_point expires_at_{};
};

}  // namespace review

#endif  // REVIEW_STANDINS_DIRECTORY_H_
