/// @file
/// Registry entries and requests for tests of package edge.
#ifndef TESTS_COMFREYVANE_EDGE_EDGE_FIXTURE_H_
#define TESTS_COMFREYVANE_EDGE_EDGE_FIXTURE_H_

#include <string>
#include <unordered_map>

#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/edge/backend_picker.h"
#include "comfreyvane/edge/pick_request.h"

namespace comfreyvane::testing {

/// The platform's bound on shifts between regions, as a fraction of requests.
inline constexpr double kMaxShift = 0.15;

inline constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

/// Two failure domains in region "west", two in "east".
inline std::unordered_map<FailureDomainId, RegionId> TwoRegions() {
  return {{FailureDomainId::Of("west-a"), RegionId::Of("west")},
          {FailureDomainId::Of("west-b"), RegionId::Of("west")},
          {FailureDomainId::Of("east-a"), RegionId::Of("east")},
          {FailureDomainId::Of("east-b"), RegionId::Of("east")}};
}

inline BackendPicker PickerInWest() {
  return BackendPicker({FailureDomainId::Of("west-a"), RegionId::Of("west")},
                       TwoRegions(), kMaxShift);
}

inline BackendEntry EntryOf(const std::string& name,
                            const std::string& domain,
                            std::uint32_t slots = 3) {
  BackendEntry entry;
  entry.name = name;
  entry.service = ServiceId::Of("capture");
  entry.address = "192.0.2.1";
  entry.port = 8080;
  entry.failure_domain = FailureDomainId::Of(domain);
  entry.slots = slots;
  return entry;
}

inline PickRequest RequestFor(std::uint64_t object) {
  PickRequest request;
  request.service = ServiceId::Of("capture");
  request.kind = 1;
  request.object = object;
  request.objective = std::chrono::milliseconds(400);
  return request;
}

}  // namespace comfreyvane::testing

#endif  // TESTS_COMFREYVANE_EDGE_EDGE_FIXTURE_H_
