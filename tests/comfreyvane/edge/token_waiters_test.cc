#include "comfreyvane/edge/token_waiters.h"

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
const HostId kFirst = HostId::Of("h1");
const HostId kSecond = HostId::Of("h2");
const WorkspaceTokens kWanted{WorkspaceId::Of("kandy"), 2.0};

}  // namespace

Test(token_waiters, serves_the_oldest_first_until_there_is_no_more) {
  TokenWaiters waiters;
  waiters.Add(kFirst, kWanted, kStart);
  waiters.Add(kSecond, kWanted, kStart);
  std::vector<HostId> asked;
  waiters.Serve(
      [&](HostId host, const WorkspaceTokens& wanted) {
        cr_expect(wanted == kWanted);
        asked.push_back(host);
        return asked.size() == 1;
      },
      kStart + milliseconds(50));
  cr_expect(asked == std::vector<HostId>({kFirst, kSecond}));
  cr_expect_eq(waiters.size(), 1U);
}

Test(token_waiters, gives_nothing_to_a_host_that_has_given_up) {
  TokenWaiters waiters;
  waiters.Add(kFirst, kWanted, kStart);
  int served = 0;
  waiters.Serve([&](HostId, const WorkspaceTokens&) { return ++served > 0; },
                kStart + milliseconds(101));
  cr_expect_eq(served, 0);
  cr_expect_eq(waiters.size(), 0U);
}

Test(token_waiters, stays_small_while_no_tokens_come) {
  TokenWaiters waiters;
  for (int i = 0; i < 10'000; ++i)
    waiters.Add(kFirst, kWanted, kStart + milliseconds(i));
  cr_expect_leq(waiters.size(), 101U);
}
