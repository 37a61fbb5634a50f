/// @file
/// A backend server in virtual time.
#ifndef TESTS_SUPPORT_MODELLED_SERVER_H_
#define TESTS_SUPPORT_MODELLED_SERVER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/route/load_report.h"

namespace comfreyvane::testing {

/// A backend server with slots, a queue, and memory for few objects.
class ModelledServer {
 public:
  struct Terms {
    std::size_t slots = 4;
    std::size_t queue = 12;
    std::size_t kept = 26;  ///< Objects that stay warm.
    Duration cold_work = std::chrono::milliseconds(880);
    double warm_part = 0.3;  ///< Of the cold work.
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

  explicit ModelledServer(const Terms& terms) : terms_(terms) {}

  /// @return false if the server sheds the request.
  [[nodiscard]] bool Accept(const Job& job) {
    if (running_ + waiting_.size() >= terms_.slots + terms_.queue)
      return false;
    waiting_.push_back(job);
    return true;
  }

  /// @return the request that begins to run now, if a slot is free.
  [[nodiscard]] std::optional<Run> Begin() {
    if (running_ >= terms_.slots || waiting_.empty())
      return std::nullopt;
    const Job job = waiting_.front();
    waiting_.pop_front();
    ++running_;
    const bool warm = Touch(job.object);
    const double part = warm ? terms_.warm_part : 1.0;
    return Run{job.id,
               Duration(static_cast<Duration::rep>(
                   part * static_cast<double>(terms_.cold_work.count()))),
               warm};
  }

  void End() { --running_; }

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
    else if (objects_.size() >= terms_.kept)
      objects_.pop_back();
    objects_.insert(objects_.begin(), object);
    return warm;
  }

  Terms terms_;
  std::size_t running_ = 0;
  std::deque<Job> waiting_;
  std::vector<std::uint64_t> objects_;  ///< The latest first.
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_MODELLED_SERVER_H_
