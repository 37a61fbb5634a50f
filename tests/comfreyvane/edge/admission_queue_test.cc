#include "comfreyvane/edge/admission_queue.h"

#include <vector>

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
const ServiceId kCapture = ServiceId::Of("capture");

}  // namespace

Test(admission_queue, serves_by_urgency_and_then_by_arrival) {
  AdmissionQueue<int> queue;
  queue.Push(kCapture, {1, 0}, 1, kStart);
  queue.Push(kCapture, {0, 2}, 2, kStart);
  queue.Push(kCapture, {0, 1}, 3, kStart);
  queue.Push(kCapture, {0, 1}, 4, kStart);
  std::vector<int> order;
  queue.Drain(kCapture, [&](int item) {
    order.push_back(item);
    return true;
  });
  cr_expect(order == std::vector<int>({3, 4, 2, 1}));
  cr_expect_eq(queue.depth(), 0U);
}

Test(admission_queue, a_request_that_cannot_start_does_not_block_others) {
  AdmissionQueue<int> queue;
  queue.Push(kCapture, {0, 0}, 1, kStart);
  queue.Push(kCapture, {0, 1}, 2, kStart);
  std::vector<int> started;
  queue.Drain(kCapture, [&](int item) {
    if (item == 1)
      return false;
    started.push_back(item);
    return true;
  });
  cr_expect(started == std::vector<int>({2}));
  cr_expect_eq(queue.depth(kCapture), 1U);
}

Test(admission_queue, expires_requests_at_their_time_limit) {
  AdmissionQueue<int> queue;
  queue.Push(kCapture, {}, 1, kStart + milliseconds(100));
  queue.Push(kCapture, {}, 2, kStart + milliseconds(200));
  cr_expect(queue.Expire(kStart + milliseconds(99)).empty());
  cr_expect(queue.Expire(kStart + milliseconds(100)) == std::vector<int>({1}));
  queue.Remove(kCapture, 2);
  queue.Remove(kCapture, 3);
  cr_expect_eq(queue.depth(), 0U);
}

Test(admission_queue, estimates_the_wait_from_the_release_rate) {
  AdmissionQueue<int> queue;
  for (int i = 0; i < 200; ++i)
    queue.OnReleased(kCapture, kStart + milliseconds(20) * i);
  const Duration empty = queue.ExpectedWait(kCapture, {0, 1});
  cr_expect(empty > milliseconds(15) && empty < milliseconds(25));
  queue.Push(kCapture, {0, 0}, 1, kStart);
  queue.Push(kCapture, {0, 2}, 2, kStart);
  cr_expect(queue.ExpectedWait(kCapture, {0, 1}) == 2 * empty,
            "less urgent requests are not ahead");
}
