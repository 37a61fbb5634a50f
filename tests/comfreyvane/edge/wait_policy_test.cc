#include "comfreyvane/edge/wait_policy.h"

#include "comfreyvane/edge/edge_fixture.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

WaitTerms TermsFor(Duration work) {
  return {kStart, milliseconds(600), work, kStart + seconds(4)};
}

}  // namespace

Test(wait_policy, a_wait_leaves_time_for_an_answer_within_the_objective) {
  for (const int work : {100, 250, 500}) {
    const TimePoint wait_deadline = WaitDeadline(TermsFor(milliseconds(work)));
    cr_expect(wait_deadline + milliseconds(work) <= kStart + milliseconds(600),
              "work of %d ms", work);
    cr_expect(wait_deadline > kStart);
  }
}

Test(wait_policy, a_request_that_will_be_late_waits_briefly) {
  const TimePoint wait_deadline = WaitDeadline(TermsFor(milliseconds(900)));
  // At most an eighth of the objective: an early refusal costs the caller
  // little.
  cr_expect(wait_deadline > kStart &&
            wait_deadline <= kStart + milliseconds(75));
}

Test(wait_policy, no_request_waits_beyond_its_deadline) {
  WaitTerms terms = TermsFor(milliseconds(100));
  terms.deadline = kStart + milliseconds(50);
  cr_expect(WaitDeadline(terms) == terms.deadline);
}

Test(wait_policy, retry_after_is_the_expected_wait_within_bounds) {
  cr_expect(RetryAfter(milliseconds(400)) == milliseconds(400));
  cr_expect(RetryAfter(Duration::zero()) > Duration::zero());
  cr_expect(RetryAfter(seconds(30)) <= seconds(1));
}

Test(wait_policy, waits_under_limits_grow_with_the_requests_ahead) {
  const LimitedRoom room{milliseconds(500), 0.5, 4.0};
  cr_expect(LimitWait(room, 0) == milliseconds(500));
  cr_expect(LimitWait(room, 2) == milliseconds(4500));
  cr_expect(LimitWait({Duration::max(), 0.0, 4.0}, 2) == Duration::max());
  cr_expect(LimitWait({Duration::zero(), 1e-12, 4.0}, 9) <
            std::chrono::hours(2));
}

Test(wait_policy, refusals_by_limits_say_when_the_servers_take_requests) {
  cr_expect(LimitRetryAfter({Duration::max(), 0.0, 4.0}) == milliseconds(250));
  cr_expect(LimitRetryAfter({Duration::max(), 0.0, 0.4}) == milliseconds(2500));
  cr_expect(LimitRetryAfter({Duration::max(), 0.0, 500}) == milliseconds(100));
  cr_expect(LimitRetryAfter({Duration::max(), 0.0, 0.0}) ==
            std::chrono::seconds(10));
}
