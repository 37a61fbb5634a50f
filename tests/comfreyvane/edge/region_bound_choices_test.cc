/// @file
/// Random tables, entries and changes: no request is sent outside its regions.
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/edge/backend_picker.h"
#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;

namespace {

constexpr int kRegions = 3;
constexpr int kDomains = 7;  ///< The last one has no known region.
constexpr int kServers = 40;
constexpr int kRounds = 20'000;

FailureDomainId Domain(std::uint64_t number) {
  return FailureDomainId::Of("domain-" + std::to_string(number));
}
RegionId Region(std::uint64_t number) {
  return RegionId::Of("region-" + std::to_string(number));
}
const ServiceId kService = ServiceId::Of("s");

/// Region of a server as the lists say it; empty: unknown.
RegionId RegionOf(const BackendEntry& entry) {
  for (int i = 0; i + 1 < kDomains; ++i) {
    if (entry.failure_domain == Domain(i))
      return Region(i % kRegions);
  }
  return {};
}

class Registry {
 public:
  explicit Registry(std::uint64_t seed)
      : random_(seed), picker_({Domain(0), Region(0)}, Regions(), 0.15) {
    for (int i = 0; i < kServers; ++i)
      List(i);
  }

  /// Lists a server anew: often elsewhere, restarted or at another address.
  void List(std::uint64_t number) {
    BackendEntry entry;
    entry.name = "i-" + std::to_string(number);
    entry.service = kService;
    entry.address = "10.0.0." + std::to_string(random_.Below(8));
    entry.port = static_cast<std::uint16_t>(1 + random_.Below(3));
    entry.failure_domain = Domain(random_.Below(kDomains));
    entry.slots = 4;
    entry.started_ms = static_cast<std::int64_t>(random_.Below(3));
    entry.draining = random_.Uniform() < 0.1;
    entries_[entry.id()] = entry;
    picker_.Upsert(entry, now_);
  }

  void Evacuate() {
    evacuated_.clear();
    if (random_.Uniform() < 0.5)
      evacuated_.insert(Domain(random_.Below(kDomains)));
    picker_.SetEvacuated(evacuated_, {}, now_);
  }

  PickRequest Request() {
    PickRequest request;
    request.service = kService;
    request.object = random_.Uniform() < 0.5 ? 1 + random_.Below(50) : 0;
    request.objective = milliseconds(500);
    for (int i = 0; i < kRegions; ++i) {
      if (random_.Uniform() < 0.4)
        request.regions.push_back(Region(i));
    }
    // Route and workspace have no region in common.
    if (request.regions.empty() && random_.Uniform() < 0.5)
      request.regions.push_back(RegionId());
    if (random_.Uniform() < 0.3)
      request.origin_region = Region(random_.Below(kRegions));
    return request;
  }

  /// Plays a request whose server may change between choice and send.
  /// @return whether it was sent.
  bool Play() {
    now_ += milliseconds(5);
    const PickRequest request = Request();
    const auto choice = picker_.Pick(request, now_);
    if (!choice || !picker_.OnStarted(*choice, now_))
      return false;
    const BackendEntry entry = picker_.Find(choice->server)->entry();
    for (std::uint64_t i = random_.Below(4); i > 0; --i) {
      if (random_.Uniform() < 0.1)
        Evacuate();
      else
        List(random_.Uniform() < 0.3 ? std::stoul(entry.name.substr(2))
                                     : random_.Below(kServers));
    }
    const bool sends = picker_.MaySend(entry, request);
    if (sends)
      Check(entry, request);
    picker_.OnFinished(*choice, request, RequestOutcome::kOk, milliseconds(20),
                       100, now_);
    return sends;
  }

 private:
  static std::unordered_map<FailureDomainId, RegionId> Regions() {
    std::unordered_map<FailureDomainId, RegionId> regions;
    for (int i = 0; i + 1 < kDomains; ++i)
      regions.emplace(Domain(i), Region(i % kRegions));
    return regions;
  }

  void Check(const BackendEntry& sent_by, const PickRequest& request) const {
    const BackendEntry& listed = entries_.at(sent_by.id());
    cr_assert(listed.address == sent_by.address && listed.port == sent_by.port);
    cr_assert(listed.started_ms == sent_by.started_ms);
    cr_assert(!listed.draining);
    cr_assert(!evacuated_.contains(listed.failure_domain));
    if (request.regions.empty())
      return;
    const RegionId region = RegionOf(listed);
    cr_assert(region != RegionId(), "a bound request in an unknown region");
    cr_assert(std::ranges::find(request.regions, region) !=
              request.regions.end());
  }

  RandomSource random_;
  TimePoint now_{std::chrono::seconds(10)};
  BackendPicker picker_;
  std::unordered_map<BackendServerId, BackendEntry> entries_;
  std::unordered_set<FailureDomainId> evacuated_;
};

}  // namespace

Test(region_bound_choices, are_inside_their_regions_when_sent) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    Registry registry(seed);
    int sent = 0;
    for (int round = 0; round < kRounds; ++round)
      sent += registry.Play() ? 1 : 0;
    cr_expect_gt(sent, kRounds / 5, "seed %d", static_cast<int>(seed));
  }
}
