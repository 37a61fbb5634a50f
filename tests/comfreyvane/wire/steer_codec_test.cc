#include "comfreyvane/wire/steer_codec.h"

#include <boost/leaf/handle_errors.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "comfreyvane/config/site_share.h"
#include "comfreyvane/steer/shift_core.h"
#include "support/criterion.h"

using namespace comfreyvane;
namespace leaf = boost::leaf;
using std::chrono::seconds;

namespace {

ShiftProgress Progress() {
  const std::vector<SiteAllocation> before{{SiteId(1), 6000},
                                           {SiteId(2), 4000}};
  const std::vector<SiteAllocation> after{{SiteId(2), 3000},
                                          {SiteId(~0ULL), 7000}};
  ShiftCore core(ServiceId(~0ULL), {Revision(1), 500, before}, {});
  core.SetTarget({Revision(2), 500, after});
  return core.progress();
}

std::optional<SteerWireError> ErrorOf(const Json::Value& json) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<SteerWireError>> {
        BOOST_LEAF_CHECK(ShiftProgressFromJson(json));
        return std::optional<SteerWireError>();
      },
      [](SteerWireError error) { return std::optional(error); },
      [] { return std::optional<SteerWireError>(); });
}

}  // namespace

Test(steer_codec, progress_survives) {
  const ShiftProgress progress = Progress();
  const auto read = ShiftProgressFromJson(ToJson(progress));
  cr_assert(read.has_value());
  cr_expect(*read == progress);
}

Test(steer_codec, fleet_progress_travels_with_its_age) {
  FleetProgress progress{.plan = ~0ULL,
                         .remaining = 17,
                         .reported_at = TimePoint(seconds(90)),
                         .min_remaining = 16,
                         .traffic = 1000};
  progress.moved_traffic.back() = 50;
  const Json::Value json = ToJson(progress, TimePoint(seconds(100)));
  const auto read = FleetProgressFromJson(json, TimePoint(seconds(500)));
  progress.reported_at = TimePoint(seconds(490));
  cr_assert(read.has_value());
  cr_expect(*read == progress);
}

Test(steer_codec, refuses_what_is_no_progress) {
  using Change = std::function<void(Json::Value&)>;
  struct Row {
    SteerWireError error;
    Change change;
  };
  const std::vector<Row> rows{
      {SteerWireError::kNoObject, [](auto& j) { j = Json::Value(1); }},
      {SteerWireError::kMissingMember, [](auto& j) { j.removeMember("plan"); }},
      {SteerWireError::kUnknownMember, [](auto& j) { j["more"] = 1; }},
      {SteerWireError::kIllTypedMember, [](auto& j) { j["plan"] = 1; }},
      {SteerWireError::kIllTypedMember, [](auto& j) { j["plan"] = "xyz"; }},
      {SteerWireError::kIllTypedMember, [](auto& j) { j["step"] = -1; }},
      {SteerWireError::kIllTypedMember,
       [](auto& j) { j["remaining"] = kWholeShare + 1; }},
      {SteerWireError::kIllTypedMember,
       [](auto& j) { j["base"][0]["first"] = "0"; }},
      {SteerWireError::kNoShareMap, [](auto& j) { j["base"][0]["first"] = 1; }},
      {SteerWireError::kNoShareMap,
       [](auto& j) { j["declared"][0]["parts"] = 1; }},
      {SteerWireError::kNoShareMap, [](auto& j) { j["plan"] = "1"; }},
      {SteerWireError::kNoShareMap,
       [](auto& j) { j["remaining"] = kWholeShare; }},
  };
  for (std::size_t i = 0; i < rows.size(); ++i) {
    Json::Value json = ToJson(Progress());
    rows[i].change(json);
    cr_expect(ErrorOf(json) == rows[i].error, "row %zu", i);
  }
}

Test(steer_codec, explains_pauses_and_refusals) {
  ShiftExplanation shift{
      .revision = Revision(7),
      .now = TimePoint(seconds(9)),
      .paused = ShiftPaused{.reason = PauseReason::kMeasurementStale}};
  shift.measurements.push_back({.measured_at = TimePoint(seconds(4))});
  const Json::Value json = ToJson(shift);
  cr_expect(json["paused"]["reason"].asString() == "measurement-stale");
  cr_expect(json["measurements"][0]["age_ms"].asInt() == 5000);
  SteeringDecision refused{Refusal{.reason = RefusalReason::kRegionFull}, {}};
  refused.explanation.rule = SteeringRule::kNoRoom;
  refused.explanation.shortage =
      Shortage{.reason = ShortageReason::kFull, .usable = 5, .reserved = 5};
  const Json::Value refusal = ToJson(refused);
  cr_expect(refusal["refusal"]["reason"].asString() == "region-full");
  cr_expect(refusal["explanation"]["rule"].asString() == "no-room");
  cr_expect(refusal["explanation"]["shortage"]["reason"].asString() == "full");
}
