/// @file
/// The pickers of all hosts of a failure domain.
#ifndef TESTS_SUPPORT_PICKER_FLEET_H_
#define TESTS_SUPPORT_PICKER_FLEET_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreyvane/edge/edge_fixture.h"
#include "comfreyvane/edge/fleet_view.h"
#include "support/criterion.h"

namespace comfreyvane::testing {

/// Hosts of a failure domain, with the servers that they list.
class PickerFleet {
 public:
  explicit PickerFleet(
      std::size_t count,
      const std::vector<BackendEntry>& entries = {EntryOf("w1", "west-a")})
      : pickers_(count) {
    std::vector<FleetHost> listed;
    for (std::size_t i = 0; i < count; ++i)
      listed.push_back({"host-" + std::to_string(i), "west", "west-a", "a", "b",
                        1, 1.0 / static_cast<double>(i + 1)});
    for (std::size_t i = 0; i < count; ++i) {
      pickers_[i] = std::make_unique<BackendPicker>(PickerInWest());
      views_.emplace_back(listed[i]);
      views_.back().OnListed(listed, kStart);
    }
    ForEach([&](BackendPicker& picker) {
      for (const BackendEntry& entry : entries)
        picker.Upsert(entry, kStart);
    });
  }

  void ForEach(const std::function<void(BackendPicker&)>& action) {
    for (const auto& picker : pickers_)
      action(*picker);
  }

  /// @return hosts that send a request to a server at a point in time.
  [[nodiscard]] std::size_t OpenAt(
      BackendServerId server,
      TimePoint now,
      const PickRequest& request = RequestFor(0)) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(pickers_, [&](const auto& picker) {
          const auto choice = picker->Pick(request, now);
          return choice && choice->server == server;
        }));
  }

  /// Sends a request from each host, which ends at once.
  void Run(RequestOutcome outcome,
           TimePoint now,
           const PickRequest& request = RequestFor(0)) {
    ForEach([&](BackendPicker& picker) {
      const auto choice = picker.Pick(request, now);
      cr_assert(choice && picker.OnStarted(*choice, now));
      picker.OnFinished(*choice, request, outcome, {}, 0, now);
    });
  }

  /// Divides a request/s to a cold server among the hosts.
  void RampUp(BackendServerId server) {
    for (std::size_t i = 0; i < pickers_.size(); ++i) {
      const double share =
          views_[i].ColdShare(server, FailureDomainId::Of("west-a"));
      pickers_[i]->SetRampUp(server, share > 0.0, share);
    }
  }

  [[nodiscard]] std::size_t size() const { return pickers_.size(); }

  /// Expects that a server is closed at all hosts until a time, and then open.
  void ExpectOpenFrom(BackendServerId server, TimePoint when) const {
    const std::size_t before =
        OpenAt(server, when - std::chrono::milliseconds(1));
    cr_expect(before == 0U, "%zu of %zu hosts before", before, size());
    const std::size_t after = OpenAt(server, when);
    cr_expect(after == size(), "%zu of %zu hosts", after, size());
  }

 private:
  std::vector<std::unique_ptr<BackendPicker>> pickers_;
  std::vector<FleetView> views_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_PICKER_FLEET_H_
