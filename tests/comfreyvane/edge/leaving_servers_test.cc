#include "comfreyvane/edge/leaving_servers.h"

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{seconds(100)};
const BackendServerId kServer = BackendServerId::Of("server");

}  // namespace

Test(leaving_servers, keeps_a_statement_until_a_later_incarnation) {
  LeavingServers leaving;
  cr_expect(!leaving.Contains(kServer, 7));
  cr_expect(leaving.Add({kServer, 7}, kStart));
  cr_expect(!leaving.Add({kServer, 7}, kStart + seconds(1)), "known");
  cr_expect(leaving.Contains(kServer, 7));
  cr_expect(leaving.Contains(kServer, 6), "an entry of an older copy");
  cr_expect(!leaving.Contains(kServer, 8));
  cr_expect(!leaving.Add({kServer, 6}, kStart), "an earlier incarnation");
  cr_expect(leaving.Add({kServer, 8}, kStart));
  cr_expect(leaving.Contains(kServer, 8));
}

Test(leaving_servers, reports_recent_statements_newest_first) {
  LeavingServers leaving;
  leaving.Add({BackendServerId(1), 7}, kStart);
  leaving.Add({BackendServerId(2), 7}, kStart + seconds(1));
  const TimePoint now = kStart + LeavingServers::kReportTime;
  cr_expect(leaving.Reports(kStart + seconds(1)).size() == 2);
  cr_expect(leaving.Reports(kStart + seconds(1)).front().server ==
            BackendServerId(2));
  cr_expect(leaving.Reports(now).size() == 1);
  for (std::uint64_t i = 10; i < 500; ++i)
    leaving.Add({BackendServerId(i), 7}, now);
  cr_expect(leaving.Reports(now).size() == LeavingServers::kMaxReports);
}

Test(leaving_servers, forgets_after_the_retention_period) {
  LeavingServers leaving;
  leaving.Add({kServer, 7}, kStart);
  leaving.Prune(kStart + LeavingServers::kRetention - seconds(1));
  cr_expect(leaving.Contains(kServer, 7));
  leaving.Prune(kStart + LeavingServers::kRetention);
  cr_expect(!leaving.Contains(kServer, 7));
}
