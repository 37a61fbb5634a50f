#include "comfreyvane/edge/carrier_picker.h"

#include <map>
#include <string>

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

FleetHost HostOf(const std::string& name,
                 const std::string& domain,
                 const std::string& region,
                 double share = 0.2) {
  return {name, region, domain, "10.0.0.1:80", "10.0.0.1", 83, share};
}

const FleetHost kSelf = HostOf("self", "west-a", "west");

CarrierPicker::Report Reaching(const PathGroup& group) {
  return {1, {{group, milliseconds(50)}}, {}};
}

std::string PickedName(const CarrierPicker& picker,
                       const std::vector<RegionId>& regions = {},
                       const std::vector<HostId>& tried = {},
                       TimePoint now = kStart) {
  const auto carrier = picker.Pick(PathGroup::All(), regions, tried, now);
  return carrier ? carrier->host.name : "none";
}

CarrierPicker PickerWithThree() {
  CarrierPicker picker(kSelf);
  for (const FleetHost& host :
       {HostOf("near", "west-a", "west"), HostOf("region", "west-b", "west"),
        HostOf("far", "north-a", "north")})
    picker.OnReport(host, Reaching(PathGroup::All()), kStart);
  return picker;
}

}  // namespace

Test(carrier_picker, hosts_near_by_come_first) {
  const CarrierPicker picker = PickerWithThree();
  cr_expect(PickedName(picker) == "near");
  cr_expect(PickedName(picker, {}, {HostId::Of("near")}) == "region");
  cr_expect(PickedName(picker, {RegionId::Of("north")}) == "far");
  cr_expect(PickedName(picker, {RegionId::Of("south")}) == "none");
}

Test(carrier_picker, only_a_fresh_report_on_the_group_counts) {
  CarrierPicker picker(kSelf);
  const FleetHost host = HostOf("near", "west-a", "west");
  const PathGroup service = PathGroup::Of(ServiceId::Of("capture"));
  picker.OnReport(host, Reaching(service), kStart);
  cr_expect(PickedName(picker) == "none");
  cr_expect(picker.Pick(service, {}, {}, kStart)->report_age ==
            milliseconds(50));
  cr_expect(!picker.Pick(service, {}, {}, kStart + seconds(2)));
  picker.OnReport(host, {2, {}, {}}, kStart);
  cr_expect(!picker.Pick(service, {}, {}, kStart),
            "the host has lost its path as well");
}

Test(carrier_picker, a_carrier_that_fails_or_leaves_is_passed_over) {
  CarrierPicker picker = PickerWithThree();
  picker.OnStarted(HostId::Of("near"));
  picker.OnFinished(HostId::Of("near"), false, kStart);
  cr_expect(PickedName(picker) == "region");
  picker.OnLeaving(HostId::Of("region"));
  cr_expect(PickedName(picker) == "far");
}

Test(carrier_picker, requests_are_spread_by_processor_share_and_delay) {
  CarrierPicker picker(kSelf);
  picker.OnReport(HostOf("small", "west-a", "west", 0.1),
                  Reaching(PathGroup::All()), kStart);
  picker.OnReport(HostOf("large", "west-a", "west", 0.4),
                  Reaching(PathGroup::All()), kStart);
  CarrierPicker::Report late = Reaching(PathGroup::All());
  late.delay = milliseconds(400);
  picker.OnReport(HostOf("late", "west-a", "west", 0.4), late, kStart);
  std::map<std::string, int> carried;
  for (int i = 0; i < 50; ++i) {
    const std::string name = PickedName(picker);
    picker.OnStarted(HostId::Of(name));
    ++carried[name];
  }
  cr_expect(carried["late"] == 0);
  cr_expect(carried["small"] >= 8 && carried["small"] <= 12, "%d",
            carried["small"]);
}

Test(carrier_picker, a_large_fleet_is_asked_in_turns) {
  CarrierPicker picker(kSelf);
  std::vector<FleetHost> hosts = {kSelf};
  for (int i = 0; i < 300; ++i) {
    const std::string number = std::to_string(i % 6);
    hosts.push_back(HostOf("h" + std::to_string(i), "d" + number,
                           i % 6 < 2 ? "west" : "north"));
  }
  std::map<std::string, int> asked;
  for (int round = 0; round < 10; ++round) {
    const auto now_asked = picker.HostsToAsk(hosts);
    cr_expect(now_asked.size() <= 18U);
    for (const FleetHost& host : now_asked)
      ++asked[host.name];
  }
  cr_expect(asked.size() >= 100U, "%zu", asked.size());
  cr_expect(asked.count("self") == 0U);
}
