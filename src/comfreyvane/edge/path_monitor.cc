#include "comfreyvane/edge/path_monitor.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Number of servers that have to answer probes before a path counts as back.
constexpr std::size_t kMinProbed = 2;

/// Assumed time between answers before there are samples, and gain of the
/// moving average.
constexpr Duration kInitialGap = std::chrono::milliseconds(200);
constexpr Duration kMaxGap = std::chrono::seconds(1);
constexpr double kGapGain = 0.05;

/// Maximum age of answers that a host reports to others.
constexpr Duration kMaxReportAge = std::chrono::seconds(2);

/// Time over which requests return to a path, and the fraction that returns at
/// once.
constexpr Duration kReturnTime = std::chrono::seconds(2);
constexpr double kInitialReturn = 0.1;

/// Updates come every 50 ms. After a longer pause, answers may have arrived
/// that have not been read yet.
constexpr Duration kMaxUpdateGap = std::chrono::milliseconds(200);

}  // namespace

void PathMonitor::OnListed(BackendServerId server,
                           ServiceId service,
                           FailureDomainId domain) {
  const Server record{.groups = {PathGroup::All(), PathGroup::Of(domain),
                                 PathGroup::Of(service)},
                      .domain = domain};
  if (!servers_.emplace(server, record).second)
    return;
  for (const PathGroup& id : record.groups) {
    Group& group = groups_[id];
    group.members.insert(server);
    ++group.domains[domain];
  }
}

void PathMonitor::OnGone(BackendServerId server) {
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return;
  for (const PathGroup& id : found->second.groups) {
    const auto row = groups_.find(id);
    Group& group = row->second;
    group.running -= found->second.silence.running();
    group.members.erase(server);
    group.probed.erase(server);
    if (--group.domains[found->second.domain] == 0)
      group.domains.erase(found->second.domain);
    if (!group.members.empty())
      continue;
    if (group.state != State::kOpen)
      --disturbed_;
    groups_.erase(row);
  }
  running_.erase(server);
  failing_.erase(server);
  servers_.erase(found);
}

void PathMonitor::OnSent(BackendServerId server,
                         TimePoint now,
                         const ExpectedAnswer& expected) {
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return;
  found->second.silence.OnSent(expected, now);
  running_.insert(server);
  for (const PathGroup& id : found->second.groups) {
    Group& group = groups_.at(id);
    // What ended without an answer does not end a silence.
    if (group.running++ == 0 && group.last_answer >= group.busy_since)
      group.busy_since = now;
  }
}

void PathMonitor::OnAnswered(BackendServerId server,
                             TimePoint now,
                             std::optional<TimePoint> sent_at) {
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return;
  found->second.silence.OnAnswered(now);
  for (const PathGroup& id : found->second.groups) {
    Group& group = groups_.at(id);
    if (group.last_answer == TimePoint{})
      group.mean_gap_ns = static_cast<double>(kInitialGap.count());
    const Duration gap = std::min(kMaxGap, now - group.last_answer);
    group.mean_gap_ns +=
        kGapGain * (static_cast<double>(gap.count()) - group.mean_gap_ns);
    group.last_answer = now;
    if (group.state == State::kLost && group.is_only_silent)
      group.probed.insert(server);
  }
  OnUnanswered(server, sent_at);
}

void PathMonitor::OnUnanswered(BackendServerId server,
                               std::optional<TimePoint> sent_at) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || !found->second.silence.OnEnded(sent_at))
    return;
  if (found->second.silence.running() == 0)
    running_.erase(server);
  for (const PathGroup& id : found->second.groups)
    --groups_.at(id).running;
}

void PathMonitor::OnConnectionLost(BackendServerId server,
                                   TimePoint now,
                                   std::optional<TimePoint> sent_at) {
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return;
  found->second.connection_lost_at = now;
  failing_.insert(server);
  OnUnanswered(server, sent_at);
}

void PathMonitor::SetLoad(BackendServerId server, const ServerLoad& load) {
  const auto found = servers_.find(server);
  if (found != servers_.end())
    found->second.silence.SetLoad(load);
}

void PathMonitor::OnConnected(BackendServerId server, TimePoint now) {
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return;
  found->second.connect_failed_at = TimePoint{};
  found->second.connected_at = now;
  for (const PathGroup& id : found->second.groups)
    groups_.at(id).last_connect = now;
}

void PathMonitor::OnConnectFailed(BackendServerId server, TimePoint now) {
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return;
  found->second.connect_failed_at = now;
  failing_.insert(server);
}

void PathMonitor::OnProbeAnswered(BackendServerId server) {
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return;
  for (const PathGroup& id : found->second.groups) {
    Group& group = groups_.at(id);
    if (group.state == State::kLost)
      group.probed.insert(server);
  }
}

void PathMonitor::OnAsked(const std::vector<PathGroup>& groups, TimePoint now) {
  for (const PathGroup& id : groups) {
    const auto found = groups_.find(id);
    if (found != groups_.end())
      found->second.asked_at = now;
  }
}

void PathMonitor::OnPeerReport(HostId peer,
                               const std::vector<PathReport>& reports,
                               TimePoint now) {
  for (const PathReport& report : reports) {
    const auto found = groups_.find(report.group);
    if (found == groups_.end())
      continue;
    const Witness witness{peer, now - report.age};
    auto& newest = found->second.witness;
    if (!newest || witness.answered_at > newest->answered_at)
      newest = witness;
  }
}

std::vector<PathChange> PathMonitor::Update(TimePoint now) {
  if (now - updated_at_ > kMaxUpdateGap)
    resumed_at_ = now;
  updated_at_ = now;
  std::vector<PathChange> changes;
  // The group of all servers comes first in the order.
  for (auto& [id, group] : groups_) {
    if (IsIncluded(id))
      break;
    if (auto change = Judge(id, group, now))
      changes.push_back(*change);
  }
  // While all servers are lost or just back, the parts are not judged alone.
  if (!changes.empty() && changes.front().group == PathGroup::All() &&
      changes.front().kind != PathChange::Kind::kOpen)
    ResetParts(now);
  ForgetFailures(now);
  return changes;
}

std::optional<PathChange> PathMonitor::Judge(const PathGroup& id,
                                             Group& group,
                                             TimePoint now) {
  PathChange change{.group = id,
                    .silence = SilenceOf(group, now),
                    .lasted = now - group.changed_at};
  if (group.state == State::kLost) {
    const std::size_t needed = std::min(kMinProbed, group.members.size());
    if (group.probed.size() < needed) {
      group.has_open_connections &= !IsSilent(id, group, now);
      return std::nullopt;
    }
    SetState(group, State::kRegained, now);
    change.kind = PathChange::Kind::kRegained;
    return change;
  }
  const Evidence evidence = EvidenceOn(id, group, now);
  change.silent = evidence.silent;
  change.busy = evidence.busy;
  change.refused = evidence.refusing.size();
  NoteDoubts(evidence, group, now);
  const bool fails_connects = FailsConnects(group, now);
  const bool has_witness = HasWitness(group, now);
  if (fails_connects || IsAbandoned(id, evidence, group, now)) {
    if (has_witness)
      change.witness = group.witness->host;
    SetState(group, State::kLost, now);
    group.is_only_silent = evidence.failing == 0;
    group.has_open_connections = fails_connects && !IsSilent(id, group, now);
    return change;
  }
  if (group.state != State::kRegained || now - group.changed_at < kReturnTime)
    return std::nullopt;
  SetState(group, State::kOpen, now);
  change.kind = PathChange::Kind::kOpen;
  return change;
}

void PathMonitor::SetState(Group& group, State state, TimePoint now) {
  if (group.state != State::kOpen)
    --disturbed_;
  if (state != State::kOpen)
    ++disturbed_;
  group.state = state;
  group.changed_at = now;
  group.probed.clear();
  group.suspected_at = TimePoint{};
  group.refused_at = TimePoint{};
  if (state == State::kLost)
    return;
  // Earlier evidence belongs to the time before the path was regained.
  group.last_answer = now;
  group.last_connect = now;
  group.direct_credit = 0.0;
}

void PathMonitor::ResetParts(TimePoint now) {
  for (auto& [id, group] : groups_) {
    if (id.kind != PathGroup::Kind::kAll)
      SetState(group, State::kOpen, now);
  }
}

std::vector<BackendServerId> PathMonitor::ProbeOrder(const Group& group) {
  std::vector<BackendServerId> order(group.members.begin(),
                                     group.members.end());
  const auto first =
      static_cast<std::ptrdiff_t>(probe_round_++ * kMaxProbes % order.size());
  std::rotate(order.begin(), order.begin() + first, order.end());
  return order;
}

ServerReach PathMonitor::ReachOf(BackendServerId server) const {
  const auto lost = LostGroupOf(server);
  if (!lost)
    return ServerReach::kDirect;
  return groups_.at(*lost).has_open_connections ? ServerReach::kOpenConnections
                                                : ServerReach::kNone;
}

std::optional<PathGroup> PathMonitor::LostGroupOf(
    BackendServerId server) const {
  const auto found = servers_.find(server);
  if (disturbed_ == 0 || found == servers_.end())
    return std::nullopt;
  for (const PathGroup& id : found->second.groups) {
    if (groups_.at(id).state == State::kLost)
      return id;
  }
  return std::nullopt;
}

std::optional<PathGroup> PathMonitor::HoldBack(BackendServerId server,
                                               TimePoint now) {
  const auto found = servers_.find(server);
  if (disturbed_ == 0 || found == servers_.end())
    return std::nullopt;
  for (const PathGroup& id : found->second.groups) {
    Group& group = groups_.at(id);
    if (group.state != State::kRegained)
      continue;
    const double elapsed =
        static_cast<double>((now - group.changed_at).count()) /
        static_cast<double>(kReturnTime.count());
    group.direct_credit += std::clamp(elapsed, kInitialReturn, 1.0);
    if (group.direct_credit < 1.0)
      return id;
    group.direct_credit -= 1.0;
  }
  return std::nullopt;
}

std::vector<PathGroup> PathMonitor::AskedGroups(TimePoint now) const {
  std::vector<PathGroup> asked;
  for (const auto& [id, group] : groups_) {
    if (group.state != State::kOpen || NeedsProbes(id, group, now))
      asked.push_back(id);
  }
  return asked;
}

std::vector<PathReport> PathMonitor::ReportsOn(
    const std::vector<PathGroup>& groups,
    TimePoint now) const {
  std::vector<PathReport> reports;
  if (AllLost())
    return reports;
  for (const PathGroup& id : groups) {
    const auto found = groups_.find(id);
    if (found == groups_.end() || found->second.state == State::kLost ||
        !IsWithin(found->second.last_answer, kMaxReportAge, now))
      continue;
    reports.push_back({id, now - found->second.last_answer});
  }
  return reports;
}

bool PathMonitor::AllLost() const {
  const auto all = groups_.find(PathGroup::All());
  return all != groups_.end() && all->second.state == State::kLost;
}

bool PathMonitor::IsIncluded(const PathGroup& id) const {
  return id.kind != PathGroup::Kind::kAll && AllLost();
}

}  // namespace comfreyvane
