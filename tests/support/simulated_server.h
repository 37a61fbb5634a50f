/// @file
/// Simulated backend server for tests in virtual time.
#ifndef TESTS_SUPPORT_SIMULATED_SERVER_H_
#define TESTS_SUPPORT_SIMULATED_SERVER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/route/load_report.h"

namespace comfreyvane::testing {

/// Simulates a backend server with slots, a queue and a small LRU cache of
/// objects.
class SimulatedServer {
 public:
  struct Options {
    std::size_t slots = 4;
    std::size_t queue = 12;
    std::size_t cached_objects = 26;  ///< Objects that stay warm.
    Duration cold_work = std::chrono::milliseconds(880);
    double warm_fraction = 0.3;  ///< Warm work as a fraction of cold work.
  };
  struct Job {
    std::uint64_t id = 0;
    std::uint64_t object = 0;
  };
  struct Run {
    std::uint64_t id = 0;
    Duration work{};
    bool warm = false;
  };

  explicit SimulatedServer(const Options& options) : options_(options) {}

  /// @return false if the server sheds the request.
  [[nodiscard]] bool Accept(const Job& job) {
    if (running_ + waiting_.size() >= options_.slots + options_.queue)
      return false;
    waiting_.push_back(job);
    return true;
  }

  /// Starts the next waiting request if a slot is free.
  /// @return the request that has started.
  [[nodiscard]] std::optional<Run> Start() {
    if (running_ >= options_.slots || waiting_.empty())
      return std::nullopt;
    const Job job = waiting_.front();
    waiting_.pop_front();
    ++running_;
    const bool warm = Touch(job.object);
    const double fraction = warm ? options_.warm_fraction : 1.0;
    return Run{job.id,
               Duration(static_cast<Duration::rep>(
                   fraction * static_cast<double>(options_.cold_work.count()))),
               warm};
  }

  void Finish() { --running_; }

  [[nodiscard]] LoadReport load() const {
    return {static_cast<std::uint32_t>(running_),
            static_cast<std::uint32_t>(waiting_.size())};
  }

 private:
  [[nodiscard]] bool Touch(std::uint64_t object) {
    const auto found = std::find(objects_.begin(), objects_.end(), object);
    const bool warm = found != objects_.end();
    if (warm)
      objects_.erase(found);
    else if (objects_.size() >= options_.cached_objects)
      objects_.pop_back();
    objects_.insert(objects_.begin(), object);
    return warm;
  }

  Options options_;
  std::size_t running_ = 0;
  std::deque<Job> waiting_;
  std::vector<std::uint64_t> objects_;  ///< Most recently used first.
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_SIMULATED_SERVER_H_
