/// @file
/// Requests that wait for a backend server.
#ifndef COMFREYVANE_EDGE_ADMISSION_QUEUE_H_
#define COMFREYVANE_EDGE_ADMISSION_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Urgency of a request: the workspace's priority, then the route's; lower
/// goes first.
struct Urgency {
  std::uint32_t workspace = 0;
  std::uint32_t route = 0;

  friend auto operator<=>(const Urgency&, const Urgency&) = default;
};

/// Requests that wait for a backend server of their service, the most urgent
/// first and within it the oldest. Not synchronised.
/// @tparam Item what the owner resumes; copyable, with equality.
template <typename Item>
class AdmissionQueue {
 public:
  struct Entry {
    Item item;
    TimePoint give_up;  ///< When waiting on is pointless.
  };

  void Push(ServiceId service, Urgency urgency, Item item, TimePoint give_up) {
    lines_[service].waiting.emplace(std::pair(urgency, ++order_),
                                    Entry{std::move(item), give_up});
    ++depth_;
  }

  void Remove(ServiceId service, const Item& item) {
    Line& line = lines_[service];
    const auto found =
        std::find_if(line.waiting.begin(), line.waiting.end(),
                     [&](const auto& row) { return row.second.item == item; });
    if (found == line.waiting.end())
      return;
    line.waiting.erase(found);
    --depth_;
  }

  /// Takes the waiting requests of a service that can start, in their order.
  /// One that cannot, since it may use few servers, does not hold up others.
  /// @param try_start called with each item; returns whether it starts.
  template <typename TryStart>
  void Drain(ServiceId service, TryStart try_start) {
    const auto found = lines_.find(service);
    if (found == lines_.end())
      return;
    auto& waiting = found->second.waiting;
    int failures = 0;
    for (auto it = waiting.begin();
         it != waiting.end() && failures < kMostFailures;) {
      if (try_start(it->second.item)) {
        it = waiting.erase(it);
        --depth_;
      } else {
        ++it;
        ++failures;
      }
    }
  }

  /// Takes out the requests that have waited for too long.
  [[nodiscard]] std::vector<Item> Expire(TimePoint now) {
    std::vector<Item> expired;
    for (auto& [service, line] : lines_) {
      for (auto it = line.waiting.begin(); it != line.waiting.end();) {
        if (it->second.give_up > now) {
          ++it;
          continue;
        }
        expired.push_back(it->second.item);
        it = line.waiting.erase(it);
        --depth_;
      }
    }
    return expired;
  }

  /// Notes that a request of a service got a server or released one.
  void OnReleased(ServiceId service, TimePoint now) {
    Line& line = lines_[service];
    const Duration gap = now - line.released;
    line.released = now;
    if (gap > kLongestGap)
      return;
    line.gap += Scaled(gap - line.gap, kGapGain);
  }

  /// @return how long a request of this urgency would wait, from the rate at
  ///     which servers of the service came free of late.
  [[nodiscard]] Duration ExpectedWait(ServiceId service,
                                      Urgency urgency) const {
    const auto found = lines_.find(service);
    if (found == lines_.end())
      return Duration::zero();
    std::int64_t ahead = 1;
    for (const auto& [place, entry] : found->second.waiting) {
      if (place.first > urgency)
        break;
      ++ahead;
    }
    return found->second.gap * ahead;
  }

  [[nodiscard]] std::size_t depth(ServiceId service) const {
    const auto found = lines_.find(service);
    return found == lines_.end() ? 0 : found->second.waiting.size();
  }
  [[nodiscard]] std::size_t depth() const { return depth_; }
  [[nodiscard]] std::vector<ServiceId> Services() const {
    std::vector<ServiceId> services;
    for (const auto& [service, line] : lines_) {
      if (!line.waiting.empty())
        services.push_back(service);
    }
    return services;
  }

 private:
  /// Requests in a row that cannot start after which a round ends.
  static constexpr int kMostFailures = 16;
  /// Gap between releases before there is a sample.
  static constexpr Duration kFirstGap = std::chrono::milliseconds(50);
  /// Longer gaps are pauses of the traffic.
  static constexpr Duration kLongestGap = std::chrono::seconds(1);
  /// Average over about ten releases.
  static constexpr double kGapGain = 0.1;

  struct Line {
    std::map<std::pair<Urgency, std::uint64_t>, Entry> waiting;
    TimePoint released{};
    Duration gap = kFirstGap;
  };

  std::unordered_map<ServiceId, Line> lines_;
  std::uint64_t order_ = 0;
  std::size_t depth_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_ADMISSION_QUEUE_H_
