#include "comfreyvane/fair/fair_queue.h"

#include <array>
#include <set>

#include "comfreyvane/base/random_source.h"
#include "support/criterion.h"

using namespace std::chrono_literals;
using namespace comfreyvane;

namespace {

using Queue = FairQueue<int>;

constexpr TimePoint kStart{Duration(1s)};
const WorkspaceId kFirst(1);
const WorkspaceId kSecond(2);

FairOptions Options() {
  return {.slots = 2,
          .max_workspace_entries = 4,
          .max_entries = 6,
          .max_idempotent_wait = 100ms,
          .initial_service_time = 10ms};
}

FairEntry<int> Entry(WorkspaceId workspace,
                     Duration deadline,
                     bool idempotent,
                     int item = 0) {
  return {workspace, kStart + deadline, idempotent, item};
}

struct PushCase {
  const char* name;
  int waiting;  ///< Queued requests of the same workspace, due in 1 s.
  bool waiting_idempotent;
  Duration deadline;
  bool idempotent;
  std::optional<RefusalReason> refused;
  int refused_item;
};

}  // namespace

Test(fair_queue, push_refuses_requests_that_would_miss_their_deadline) {
  const std::array<PushCase, 8> cases{{
      {"empty queue", 0, true, 50ms, true, std::nullopt, 0},
      {"deadline past", 0, true, -1ms, true, RefusalReason::kDeadlineTooNear,
       99},
      {"deadline under a service", 0, true, 9ms, true,
       RefusalReason::kDeadlineTooNear, 99},
      {"deadline under the wait", 3, true, 24ms, true,
       RefusalReason::kDeadlineTooNear, 99},
      {"non-idempotent may wait to its deadline", 3, true, 24ms, false,
       std::nullopt, 0},
      {"full", 4, true, 1s, true, RefusalReason::kQueueFull, 99},
      {"full, idempotent gives way", 4, true, 1s, false,
       RefusalReason::kQueueFull, 3},
      {"full of non-idempotent", 4, false, 1s, false, RefusalReason::kQueueFull,
       99},
  }};
  for (const PushCase& test : cases) {
    Queue queue(Options());
    for (int i = 0; i < test.waiting; ++i)
      cr_assert(
          queue.Push(Entry(kFirst, 1s, test.waiting_idempotent, i), kStart)
              .empty());
    const auto drops =
        queue.Push(Entry(kFirst, test.deadline, test.idempotent, 99), kStart);
    cr_assert_eq(drops.empty(), !test.refused, "%s", test.name);
    if (drops.empty())
      continue;
    cr_expect(drops[0].refusal.reason == *test.refused, "%s", test.name);
    cr_expect(drops[0].refusal.run_state == RunState::kNotRun);
    cr_expect(drops[0].refusal.retry_after > Duration{0}, "%s", test.name);
    cr_expect_eq(drops[0].entry.item, test.refused_item, "%s", test.name);
  }
}

Test(fair_queue, full_queue_sheds_the_longest_workspace) {
  Queue queue(Options());
  for (int i = 0; i < 4; ++i)
    cr_assert(queue.Push(Entry(kFirst, 1s, true, i), kStart).empty());
  for (int i = 4; i < 6; ++i)
    cr_assert(queue.Push(Entry(kSecond, 1s, true, i), kStart).empty());
  const auto drops = queue.Push(Entry(WorkspaceId(3), 1s, true, 9), kStart);
  cr_assert_eq(drops.size(), 1U);
  cr_expect(drops[0].entry.workspace == kFirst);
  cr_expect_eq(queue.depth(WorkspaceId(3)), 1U);
}

Test(fair_queue, pop_follows_weights) {
  FairOptions options = Options();
  options.max_workspace_entries = options.max_entries = 1000;
  Queue queue(options);
  queue.SetWeight(kFirst, 3);
  for (int i = 0; i < 400; ++i) {
    cr_assert(queue.Push(Entry(kFirst, 100s, false), kStart).empty());
    cr_assert(queue.Push(Entry(kSecond, 100s, false), kStart).empty());
  }
  int first = 0;
  for (int i = 0; i < 200; ++i)
    first += queue.Pop(kStart).entry->workspace == kFirst ? 1 : 0;
  cr_expect(first >= 148 && first <= 152, "%d of 200", first);
}

Test(fair_queue, pop_prefers_non_idempotent_requests) {
  Queue queue(Options());
  cr_assert(queue.Push(Entry(kFirst, 1s, true, 1), kStart).empty());
  cr_assert(queue.Push(Entry(kFirst, 2s, false, 2), kStart).empty());
  cr_expect_eq(queue.Pop(kStart).entry->item, 2);
  cr_expect_eq(queue.Pop(kStart).entry->item, 1);
  cr_expect(!queue.Pop(kStart).entry);
}

Test(fair_queue, late_requests_are_dropped) {
  Queue queue(Options());
  cr_assert(queue.Push(Entry(kFirst, 50ms, false, 1), kStart).empty());
  cr_assert(queue.Push(Entry(kSecond, 80ms, false, 2), kStart).empty());
  const auto near = queue.Expire(kStart + 45ms);
  cr_assert_eq(near.size(), 1U);
  cr_expect(near[0].refusal.reason == RefusalReason::kDeadlineTooNear);
  const auto popped = queue.Pop(kStart + 80ms);
  cr_expect(!popped.entry);
  cr_assert_eq(popped.drops.size(), 1U);
  cr_expect(popped.drops[0].refusal.reason == RefusalReason::kDeadlinePassed);
  cr_expect_eq(queue.depth(), 0U);
}

Test(fair_queue, worst_served_has_the_lowest_fraction) {
  Queue queue(Options());
  cr_expect(!queue.worst_served());
  cr_assert(queue.Push(Entry(kFirst, 1s, true), kStart).empty());
  cr_assert_eq(queue.Push(Entry(kSecond, 1ms, true), kStart).size(), 1U);
  cr_assert(queue.Pop(kStart).entry);
  cr_expect(queue.worst_served()->workspace == kSecond);
}

/// Each request ends exactly once, no request starts too late for its deadline,
/// and the depth matches the queued requests.
Test(fair_queue, random_schedules_keep_the_invariants) {
  for (std::uint64_t seed = 1; seed <= 10000; ++seed) {
    RandomSource random(seed);
    FairOptions options = Options();
    options.max_entries = 10;
    Queue queue(options);
    TimePoint now = kStart;
    std::set<int> waiting;
    int pushed = 0;
    int ended = 0;
    const auto end = [&](const std::vector<FairDrop<int>>& drops) {
      for (const auto& drop : drops) {
        cr_assert_eq(waiting.erase(drop.entry.item), 1U, "seed %lu", seed);
        cr_assert(drop.refusal.run_state == RunState::kNotRun);
        ++ended;
      }
    };
    for (int step = 0; step < 60; ++step) {
      now += Duration(random.Below(8'000'000));
      const std::uint64_t kind = random.Below(8);
      if (kind < 4) {
        waiting.insert(++pushed);
        end(queue.Push({WorkspaceId(random.Below(3)),
                        now + Duration(random.Below(150'000'000)),
                        random.Below(2) == 0, pushed},
                       now));
      } else if (kind < 6) {
        const auto popped = queue.Pop(now);
        end(popped.drops);
        if (popped.entry) {
          cr_assert_eq(waiting.erase(popped.entry->item), 1U);
          cr_assert(now + queue.estimated_service_time() <=
                    popped.entry->deadline);
          ++ended;
        }
      } else if (kind == 6) {
        end(queue.Expire(now));
      } else {
        queue.OnServed(Duration(random.Below(30'000'000)));
        queue.SetWeight(WorkspaceId(random.Below(3)),
                        1 + static_cast<std::uint32_t>(random.Below(4)));
      }
      cr_assert_eq(queue.depth(), waiting.size(), "seed %lu", seed);
      cr_assert_eq(pushed - ended, static_cast<int>(waiting.size()));
      cr_assert(queue.depth() <= options.max_entries);
    }
  }
}
