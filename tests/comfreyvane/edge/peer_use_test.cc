#include "comfreyvane/edge/peer_use.h"

#include <algorithm>

#include "comfreyvane/edge/backend_use.h"
#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
const HostId kFirst = HostId::Of("h1");
const HostId kSecond = HostId::Of("h2");
const BackendServerId kA = BackendServerId::Of("a");
const BackendServerId kB = BackendServerId::Of("b");

std::uint32_t SumOf(const std::vector<BackendUse>& sums,
                    BackendServerId server) {
  const auto found = std::ranges::find(sums, server, &BackendUse::server);
  cr_assert(found != sums.end());
  return found->running;
}

}  // namespace

Test(peer_use, sums_the_reports_of_hosts) {
  PeerUse use;
  cr_expect_eq(SumOf(use.Replace(kFirst, {{kA, 2}}, kStart), kA), 2U);
  cr_expect_eq(SumOf(use.Replace(kSecond, {{kA, 3}}, kStart), kA), 5U);
}

Test(peer_use, a_new_report_replaces_the_previous_one) {
  PeerUse use;
  static_cast<void>(use.Replace(kFirst, {{kA, 2}}, kStart));
  const auto sums = use.Replace(kFirst, {{kB, 1}}, kStart + milliseconds(500));
  cr_expect_eq(SumOf(sums, kA), 0U);
  cr_expect_eq(SumOf(sums, kB), 1U);
}

Test(peer_use, reports_expire) {
  PeerUse use;
  static_cast<void>(use.Replace(kFirst, {{kA, 2}}, kStart));
  static_cast<void>(
      use.Replace(kSecond, {{kA, 3}}, kStart + milliseconds(1000)));
  cr_expect(use.Expire(kStart + milliseconds(1500)).empty());
  cr_expect_eq(SumOf(use.Expire(kStart + milliseconds(1600)), kA), 3U);
  cr_expect(use.Expire(kStart + milliseconds(1700)).empty());
}
