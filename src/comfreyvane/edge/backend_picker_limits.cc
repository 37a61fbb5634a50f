#include <algorithm>

#include "comfreyvane/edge/backend_picker.h"

namespace comfreyvane {

LimitChange BackendPicker::OnNamedLimit(BackendServerId server,
                                        const NamedLimit& named,
                                        TimePoint sent_at,
                                        TimePoint now) {
  const auto found = states_.find(server);
  return found == states_.end()
             ? LimitChange{}
             : found->second->limit.OnAnswer(named, sent_at, now);
}

LimitChange BackendPicker::OnLimitReport(const LimitReport& report,
                                         TimePoint now) {
  const auto found = states_.find(report.server);
  if (found == states_.end() ||
      found->second->state.entry().started_ms != report.started_ms)
    return {};
  return found->second->limit.OnReport(report, now);
}

void BackendPicker::SetLimitRank(BackendServerId server,
                                 const LimitRank& rank,
                                 TimePoint now) {
  const auto found = states_.find(server);
  if (found != states_.end())
    found->second->limit.SetRank(rank, now);
}

std::optional<double> BackendPicker::LimitOf(BackendServerId server) const {
  const auto found = states_.find(server);
  if (found == states_.end() || !found->second->limit.is_named())
    return std::nullopt;
  return found->second->limit.rate();
}

std::vector<BackendServerId> BackendPicker::LimitedServers() const {
  std::vector<BackendServerId> servers;
  for (const auto& [id, slot] : states_) {
    if (slot->limit.is_named())
      servers.push_back(id);
  }
  return servers;
}

std::vector<LimitReport> BackendPicker::LimitReports(TimePoint now) const {
  std::vector<LimitReport> reports;
  for (const auto& [id, slot] : states_) {
    if (slot->limit.IsReporter(now))
      reports.push_back(ReportOf(*slot, now));
  }
  return reports;
}

std::vector<LimitReport> BackendPicker::LimitNews(TimePoint now) const {
  std::vector<LimitReport> news;
  for (const auto& [id, slot] : states_) {
    if (slot->limit.IsNews(now))
      news.push_back(ReportOf(*slot, now));
  }
  return news;
}

LimitReport BackendPicker::ReportOf(const ServerSlot& slot, TimePoint now) {
  LimitReport report = slot.limit.Report(now);
  report.server = slot.state.entry().id();
  report.started_ms = slot.state.entry().started_ms;
  return report;
}

std::optional<LimitedRoom> BackendPicker::RoomUnderLimits(
    const PickRequest& request,
    TimePoint now) const {
  const auto found = by_service_.find(request.service);
  if (found == by_service_.end())
    return std::nullopt;
  LimitedRoom room{.wait = Duration::max()};
  bool is_limited = false;
  for (const ServerSlot* slot : found->second) {
    if (!slot->MayRun(request))
      continue;
    if (!slot->limit.is_named())
      return std::nullopt;
    is_limited = true;
    room.wait = std::min(room.wait, slot->limit.TimeUntilSend(now));
    room.own_rate += slot->limit.own_rate();
    room.fleet_rate += slot->limit.rate();
  }
  return is_limited ? std::optional(room) : std::nullopt;
}

}  // namespace comfreyvane
