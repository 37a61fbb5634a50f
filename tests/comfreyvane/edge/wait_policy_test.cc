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

Test(wait_policy, a_wait_leaves_time_to_answer_within_the_objective) {
  for (const int work : {100, 250, 500}) {
    const TimePoint give_up = WaitDeadline(TermsFor(milliseconds(work)));
    cr_expect(give_up + milliseconds(work) <= kStart + milliseconds(600),
              "work of %d ms", work);
    cr_expect(give_up > kStart);
  }
}

Test(wait_policy, what_will_be_late_waits_for_a_moment) {
  const TimePoint give_up = WaitDeadline(TermsFor(milliseconds(900)));
  // An eighth of the objective: a refusal so early costs its caller little.
  cr_expect(give_up > kStart && give_up <= kStart + milliseconds(75));
}

Test(wait_policy, nothing_waits_beyond_its_deadline) {
  WaitTerms terms = TermsFor(milliseconds(100));
  terms.deadline = kStart + milliseconds(50);
  cr_expect(WaitDeadline(terms) == terms.deadline);
}

Test(wait_policy, callers_come_back_when_there_may_be_room) {
  cr_expect(RetryAfter(milliseconds(400)) == milliseconds(400));
  cr_expect(RetryAfter(Duration::zero()) > Duration::zero());
  cr_expect(RetryAfter(seconds(30)) <= seconds(1));
}
