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

Test(token_waiters, serves_hosts_in_order_of_arrival) {
  TokenWaiters waiters;
  waiters.Add(kFirst, kWanted, kStart);
  waiters.Add(kSecond, kWanted, kStart);
  std::vector<HostId> offered;
  waiters.Serve(
      [&](HostId host, const WorkspaceTokens& wanted) {
        cr_expect(wanted == kWanted);
        offered.push_back(host);
        return offered.size() == 1;
      },
      kStart + milliseconds(50));
  cr_expect(offered == std::vector<HostId>({kFirst, kSecond}));
  cr_expect_eq(waiters.size(), 1U);
}

Test(token_waiters, drops_a_host_whose_requests_have_timed_out) {
  TokenWaiters waiters;
  waiters.Add(kFirst, kWanted, kStart);
  int served = 0;
  waiters.Serve([&](HostId, const WorkspaceTokens&) { return ++served > 0; },
                kStart + milliseconds(101));
  cr_expect_eq(served, 0);
  cr_expect_eq(waiters.size(), 0U);
}

Test(token_waiters, is_bounded_while_no_tokens_arrive) {
  TokenWaiters waiters;
  for (int i = 0; i < 10'000; ++i)
    waiters.Add(kFirst, kWanted, kStart + milliseconds(i));
  cr_expect_leq(waiters.size(), 101U);
}
