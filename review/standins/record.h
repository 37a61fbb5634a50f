/// @file
/// The record of a case.
#ifndef REVIEW_STANDINS_RECORD_H_
#define REVIEW_STANDINS_RECORD_H_

#include <chrono>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

/// Writes what was sent, answered and run, with the time since the start.
/// Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Write(const std::string& text) {
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> elapsed = Clock::now() - begun_;
    file_ << std::fixed << std::setprecision(3) << std::setw(8)
          << elapsed.count() << ' ' << text << '\n'
          << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point begun_ = Clock::now();
};

}  // namespace review

#endif  // REVIEW_STANDINS_RECORD_H_
