/// @file
/// Weighted fair queue with deadlines.
#ifndef COMFREYVANE_FAIR_FAIR_QUEUE_H_
#define COMFREYVANE_FAIR_FAIR_QUEUE_H_

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "comfreyvane/fair/fair_drop.h"
#include "comfreyvane/fair/fair_entry.h"
#include "comfreyvane/fair/fair_options.h"
#include "comfreyvane/fair/workspace_service_stats.h"

namespace comfreyvane {

/// Weighted fair queue in front of the slots of a group of backend servers. It
/// uses self-clocked fair queueing by workspace (Golestani, 1994). Within a
/// workspace, non-idempotent requests are served first. A request whose turn
/// would come too late for its deadline is refused immediately. Not
/// thread-safe.
/// @tparam Item the owner's handle of a request; movable.
template <typename Item>
class FairQueue {
 public:
  using Entry = FairEntry<Item>;
  using Drop = FairDrop<Item>;

  /// Result of Pop.
  struct PopResult {
    std::optional<Entry> entry;  ///< The request to run now, if any.
    std::vector<Drop> drops;     ///< Requests to refuse now.
  };

  /// @param options bounds; at least one slot.
  explicit FairQueue(const FairOptions& options)
      : options_(options), service_time_(options.initial_service_time) {
    assert(options.slots > 0);
  }

  /// Sets the weight of a workspace; the default is 1.
  /// @param weight greater than zero.
  void SetWeight(WorkspaceId workspace, std::uint32_t weight) {
    assert(weight > 0);
    Flow& flow = FlowOf(workspace);
    if (flow.size() > 0)
      active_weight_ += weight - static_cast<double>(flow.weight);
    flow.weight = weight;
  }

  /// Sets the maximum number of running requests.
  /// @param slots greater than zero.
  void SetSlots(std::uint32_t slots) {
    assert(slots > 0);
    options_.slots = slots;
  }

  /// Queues a request. If the queue is full, sheds a queued request in its
  /// favour or refuses it.
  /// @return the requests to refuse now; may include the pushed one.
  [[nodiscard]] std::vector<Drop> Push(Entry entry, TimePoint now) {
    std::vector<Drop> drops;
    Flow& flow = FlowOf(entry.workspace);
    ++flow.offered;
    const TimePoint latest = LatestStart(entry, now);
    if (latest < now) {
      Refuse(flow, std::move(entry), RefusalReason::kDeadlineTooNear, drops);
      return drops;
    }
    if (entry.idempotent && now + ExpectedWait(flow) > latest) {
      Refuse(flow, std::move(entry), RefusalReason::kDeadlineTooNear, drops);
      return drops;
    }
    const bool flow_full = flow.size() >= options_.max_workspace_entries;
    if (flow_full || depth_ >= options_.max_entries) {
      if (!ShedFor(flow_full ? &flow : LongestFlow(), entry, drops)) {
        Refuse(flow, std::move(entry), RefusalReason::kQueueFull, drops);
        return drops;
      }
    }
    Enqueue(flow, std::move(entry), latest);
    return drops;
  }

  /// Removes and returns the next request. Must be called only while a slot is
  /// free.
  [[nodiscard]] PopResult Pop(TimePoint now) {
    PopResult result;
    while (!active_.empty()) {
      const auto [finish, workspace] = *active_.begin();
      Flow& flow = flows_.at(workspace);
      Queue& queue = flow.non_idempotent_queue.empty()
                         ? flow.idempotent_queue
                         : flow.non_idempotent_queue;
      Waiting waiting = Take(flow, queue, queue.begin());
      if (IsTooLate(waiting, now)) {
        DropLate(flow, std::move(waiting), now, result.drops);
        continue;
      }
      virtual_time_ = std::max(virtual_time_, finish);
      SetFinish(flow, virtual_time_ + Cost(flow));
      ++flow.served;
      result.entry = std::move(waiting.entry);
      break;
    }
    return result;
  }

  /// Removes requests that can no longer be answered by their deadline.
  /// @return the requests to refuse now.
  [[nodiscard]] std::vector<Drop> Expire(TimePoint now) {
    std::vector<Drop> drops;
    for (auto& [workspace, flow] : flows_) {
      for (Queue* const queue :
           {&flow.non_idempotent_queue, &flow.idempotent_queue}) {
        while (!queue->empty() && IsTooLate(queue->begin()->second, now)) {
          Waiting waiting = Take(flow, *queue, queue->begin());
          DropLate(flow, std::move(waiting), now, drops);
        }
      }
    }
    return drops;
  }

  /// Records how long a request occupied its slot.
  void OnServed(Duration held) {
    service_time_ += (held - service_time_) / kServiceTimeWindow;
  }

  /// Resets the counts of service_stats().
  void ResetStats() {
    for (auto& [workspace, flow] : flows_)
      flow.offered = flow.served = flow.dropped = 0;
  }

  [[nodiscard]] std::size_t depth() const { return depth_; }

  [[nodiscard]] std::size_t depth(WorkspaceId workspace) const {
    const auto found = flows_.find(workspace);
    return found == flows_.end() ? 0 : found->second.size();
  }

  /// @return the estimated time for which a request occupies a slot.
  [[nodiscard]] Duration estimated_service_time() const {
    return service_time_;
  }

  /// @return the statistics of each workspace since the last ResetStats.
  [[nodiscard]] std::vector<WorkspaceServiceStats> service_stats() const {
    std::vector<WorkspaceServiceStats> all;
    for (const auto& [workspace, flow] : flows_)
      all.push_back({workspace, flow.offered, flow.served, flow.dropped});
    return all;
  }

  /// @return the workspace with the lowest served fraction among those with
  ///     offered requests, if any.
  [[nodiscard]] std::optional<WorkspaceServiceStats> worst_served() const {
    std::optional<WorkspaceServiceStats> worst;
    for (const WorkspaceServiceStats& stats : service_stats()) {
      if (stats.offered > 0 &&
          (!worst || stats.ServedFraction() < worst->ServedFraction()))
        worst = stats;
    }
    return worst;
  }

 private:
  /// Number of completions over which the service time is averaged.
  static constexpr int kServiceTimeWindow = 32;
  static constexpr double kRequestCost = 1;

  struct Waiting {
    Entry entry;
    TimePoint latest;  ///< Latest time at which its service may start.
  };
  /// Ordered by latest start, then by arrival.
  using Queue = std::map<std::pair<TimePoint, std::uint64_t>, Waiting>;
  struct Flow {
    WorkspaceId workspace;
    std::uint32_t weight = 1;
    double finish = 0;  ///< Virtual finish time of its last request.
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    std::uint64_t dropped = 0;
    Queue non_idempotent_queue;  ///< Served first, never shed.
    Queue idempotent_queue;

    [[nodiscard]] std::size_t size() const {
      return non_idempotent_queue.size() + idempotent_queue.size();
    }
  };

  [[nodiscard]] static double Cost(const Flow& flow) {
    return kRequestCost / flow.weight;
  }

  [[nodiscard]] TimePoint LatestStart(const Entry& entry, TimePoint now) const {
    const TimePoint latest = entry.deadline - service_time_;
    return entry.idempotent
               ? std::min(latest, now + options_.max_idempotent_wait)
               : latest;
  }

  [[nodiscard]] Flow& FlowOf(WorkspaceId workspace) {
    Flow& flow = flows_[workspace];
    flow.workspace = workspace;
    return flow;
  }

  /// @return an upper bound of the time until the next request of the flow gets
  ///     a slot: the time to serve the whole queue, or the turns of all flows
  ///     up to that request, whichever is less.
  [[nodiscard]] Duration ExpectedWait(const Flow& flow) const {
    const auto own = static_cast<double>(flow.size() + 1);
    const double weights = active_weight_ + (flow.size() > 0 ? 0 : flow.weight);
    const double turns = own * weights / flow.weight;
    const double ahead = std::min(static_cast<double>(depth_), turns);
    const auto service = static_cast<double>(service_time_.count());
    return Duration(
        static_cast<Duration::rep>(service * ahead / options_.slots));
  }

  void SetFinish(Flow& flow, double finish) {
    if (flow.size() > 0) {
      active_.erase({flow.finish, flow.workspace});
      active_.emplace(finish, flow.workspace);
    }
    flow.finish = finish;
  }

  void Enqueue(Flow& flow, Entry entry, TimePoint latest) {
    const bool idle = flow.size() == 0;
    Queue& queue =
        entry.idempotent ? flow.idempotent_queue : flow.non_idempotent_queue;
    queue.emplace(std::pair(latest, ++order_),
                  Waiting{std::move(entry), latest});
    ++depth_;
    if (!idle)
      return;
    flow.finish = std::max(flow.finish, virtual_time_ + Cost(flow));
    active_.emplace(flow.finish, flow.workspace);
    active_weight_ += flow.weight;
  }

  [[nodiscard]] Waiting Take(Flow& flow,
                             Queue& queue,
                             typename Queue::iterator at) {
    Waiting waiting = std::move(at->second);
    queue.erase(at);
    --depth_;
    if (flow.size() == 0) {
      active_.erase({flow.finish, flow.workspace});
      active_weight_ -= flow.weight;
    }
    return waiting;
  }

  /// @return the flow with the most queued requests relative to its weight,
  ///     among those with an idempotent request; null if there is none.
  [[nodiscard]] Flow* LongestFlow() {
    Flow* longest = nullptr;
    double max_relative = 0;
    for (const auto& [finish, workspace] : active_) {
      Flow& flow = flows_.at(workspace);
      const double relative = static_cast<double>(flow.size()) / flow.weight;
      if (relative > max_relative && !flow.idempotent_queue.empty()) {
        max_relative = relative;
        longest = &flow;
      }
    }
    return longest;
  }

  /// Sheds the idempotent request of a flow whose latest start is furthest
  /// away, in favour of another request.
  /// @return false if the flow has no request that may be shed.
  [[nodiscard]] bool ShedFor(Flow* flow,
                             const Entry& entry,
                             std::vector<Drop>& drops) {
    if (flow == nullptr || flow->idempotent_queue.empty() ||
        (flow->workspace == entry.workspace && entry.idempotent))
      return false;
    Queue& queue = flow->idempotent_queue;
    Waiting shed = Take(*flow, queue, std::prev(queue.end()));
    Refuse(*flow, std::move(shed.entry), RefusalReason::kQueueFull, drops);
    return true;
  }

  [[nodiscard]] bool IsTooLate(const Waiting& waiting, TimePoint now) const {
    return now > waiting.latest || now + service_time_ > waiting.entry.deadline;
  }

  void DropLate(Flow& flow,
                Waiting waiting,
                TimePoint now,
                std::vector<Drop>& drops) {
    const RefusalReason reason = now >= waiting.entry.deadline
                                     ? RefusalReason::kDeadlinePassed
                                     : RefusalReason::kDeadlineTooNear;
    Refuse(flow, std::move(waiting.entry), reason, drops);
  }

  void Refuse(Flow& flow,
              Entry entry,
              RefusalReason reason,
              std::vector<Drop>& drops) {
    ++flow.dropped;
    const Duration retry_after =
        reason == RefusalReason::kDeadlinePassed
            ? Duration{0}
            : std::max<Duration>(ExpectedWait(flow), service_time_);
    drops.push_back(
        {std::move(entry), {reason, RunState::kNotRun, retry_after}});
  }

  FairOptions options_;
  Duration service_time_;
  double virtual_time_ = 0;
  std::uint64_t order_ = 0;
  std::size_t depth_ = 0;
  double active_weight_ = 0;  ///< Sum over the flows with queued requests.
  std::unordered_map<WorkspaceId, Flow> flows_;
  /// Ordered by finish time.
  std::set<std::pair<double, WorkspaceId>> active_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_FAIR_FAIR_QUEUE_H_
