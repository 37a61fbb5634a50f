#include "comfreyvane/gateway/heartbeat_bound.h"

#include "comfreyvane/gateway/fleet_codec.h"
#include "support/criterion.h"

using namespace comfreyvane;

namespace {

constexpr std::size_t kMaxBytes = 4096;
constexpr std::uint64_t kLarge = std::uint64_t{1} << 63U;

/// @return a heartbeat with a number of rows in each of three lists.
Heartbeat HeartbeatWith(std::uint64_t rows) {
  Heartbeat heartbeat;
  heartbeat.host = "edge-1";
  heartbeat.use.emplace();
  for (std::uint64_t i = 0; i < rows; ++i) {
    const auto count = static_cast<std::uint32_t>(1 + i);
    heartbeat.use->push_back({BackendServerId(kLarge + i), count});
    heartbeat.crash_counts.push_back({kLarge + i, count});
    heartbeat.granted_tokens.push_back({WorkspaceId(kLarge + i), 0.125});
  }
  return heartbeat;
}

}  // namespace

Test(heartbeat_bound, leaves_what_fits_as_it_is) {
  Heartbeat heartbeat = HeartbeatWith(10);
  const Heartbeat before = heartbeat;
  cr_expect(CutToFit(heartbeat, kMaxBytes) == 0);
  cr_expect(heartbeat == before);
}

Test(heartbeat_bound, keeps_what_matters_most) {
  constexpr std::uint32_t kRows = 100;
  Heartbeat heartbeat = HeartbeatWith(kRows);
  cr_expect(CutToFit(heartbeat, kMaxBytes) > 0);
  cr_expect(EncodeHeartbeat(heartbeat).size() <= kMaxBytes);
  cr_expect(heartbeat.granted_tokens.size() == kRows);
  cr_assert(!heartbeat.use->empty() && !heartbeat.crash_counts.empty());
  cr_expect(heartbeat.use->front().running == kRows);
  cr_expect(heartbeat.crash_counts.front().count == kRows);
  cr_expect(ParseHeartbeat(EncodeHeartbeat(heartbeat)) == heartbeat);
}

Test(heartbeat_bound, ends_if_nothing_is_left_to_cut) {
  Heartbeat heartbeat = HeartbeatWith(10);
  cr_expect(CutToFit(heartbeat, 1) == 30);
}
