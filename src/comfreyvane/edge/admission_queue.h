/// @file
/// Queue of requests that wait for a backend server.
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

/// Urgency of a request, compared by the priority of the workspace and then
/// that of the route. Lower values are served first.
struct Urgency {
  std::uint32_t workspace = 0;
  std::uint32_t route = 0;

  friend auto operator<=>(const Urgency&, const Urgency&) = default;
};

/// Queue of requests that wait for a backend server, for each service. The most
/// urgent request is served first; requests of equal urgency are served in
/// order of arrival. Not thread-safe.
/// @tparam Item identifies the request to its owner; copyable and equality
///     comparable.
template <typename Item>
class AdmissionQueue {
 public:
  struct Entry {
    Item item;
    TimePoint expires_at;  ///< The request is refused if it still waits then.
  };

  void Push(ServiceId service,
            Urgency urgency,
            Item item,
            TimePoint expires_at) {
    queues_[service].waiting.emplace(std::pair(urgency, ++order_),
                                     Entry{std::move(item), expires_at});
    ++depth_;
  }

  void Remove(ServiceId service, const Item& item) {
    ServiceQueue& queue = queues_[service];
    const auto found =
        std::find_if(queue.waiting.begin(), queue.waiting.end(),
                     [&](const auto& row) { return row.second.item == item; });
    if (found == queue.waiting.end())
      return;
    queue.waiting.erase(found);
    --depth_;
  }

  /// Starts the waiting requests of a service in order and removes those that
  /// start. A request that cannot start, for example because it may use only
  /// some of the servers, does not block those behind it.
  /// @param try_start called with each item; returns whether the request has
  ///     started.
  template <typename TryStart>
  void Drain(ServiceId service, TryStart try_start) {
    const auto found = queues_.find(service);
    if (found == queues_.end())
      return;
    auto& waiting = found->second.waiting;
    int failures = 0;
    for (auto it = waiting.begin();
         it != waiting.end() && failures < kMaxFailures;) {
      if (try_start(it->second.item)) {
        it = waiting.erase(it);
        --depth_;
      } else {
        ++it;
        ++failures;
      }
    }
  }

  /// Removes and returns the requests whose waiting time has expired.
  [[nodiscard]] std::vector<Item> Expire(TimePoint now) {
    std::vector<Item> expired;
    for (auto& [service, queue] : queues_) {
      for (auto it = queue.waiting.begin(); it != queue.waiting.end();) {
        if (it->second.expires_at > now) {
          ++it;
          continue;
        }
        expired.push_back(it->second.item);
        it = queue.waiting.erase(it);
        --depth_;
      }
    }
    return expired;
  }

  /// Records that a request of a service has released its server.
  void OnReleased(ServiceId service, TimePoint now) {
    ServiceQueue& queue = queues_[service];
    const Duration gap = now - queue.last_release;
    queue.last_release = now;
    if (gap > kMaxGap)
      return;
    queue.gap += Scaled(gap - queue.gap, kGapGain);
  }

  /// @return how long a request of this urgency would have to wait, estimated
  ///     from the recent rate at which servers of the service became free.
  [[nodiscard]] Duration ExpectedWait(ServiceId service,
                                      Urgency urgency) const {
    const auto found = queues_.find(service);
    if (found == queues_.end())
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
    const auto found = queues_.find(service);
    return found == queues_.end() ? 0 : found->second.waiting.size();
  }
  [[nodiscard]] std::size_t depth() const { return depth_; }
  [[nodiscard]] std::vector<ServiceId> Services() const {
    std::vector<ServiceId> services;
    for (const auto& [service, queue] : queues_) {
      if (!queue.waiting.empty())
        services.push_back(service);
    }
    return services;
  }

 private:
  /// Number of requests that fail to start after which Drain stops.
  static constexpr int kMaxFailures = 16;
  /// Assumed time between two releases before there is a sample.
  static constexpr Duration kInitialGap = std::chrono::milliseconds(50);
  /// Longer gaps are pauses in the traffic and are not averaged.
  static constexpr Duration kMaxGap = std::chrono::seconds(1);
  /// Gain of the moving average: about ten releases.
  static constexpr double kGapGain = 0.1;

  struct ServiceQueue {
    std::map<std::pair<Urgency, std::uint64_t>, Entry> waiting;
    TimePoint last_release{};
    Duration gap = kInitialGap;
  };

  std::unordered_map<ServiceId, ServiceQueue> queues_;
  std::uint64_t order_ = 0;
  std::size_t depth_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_ADMISSION_QUEUE_H_
