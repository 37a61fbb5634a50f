#include <algorithm>

#include "comfreyvane/edge/path_monitor.h"

namespace comfreyvane {
namespace {

/// Number of servers whose failure counts as a lost path, or all of a smaller
/// group. One server's failure never does.
constexpr std::size_t kMinServers = 3;
constexpr std::size_t kMinServersOfSmallGroup = 2;

/// Time without any answer of a group, as a multiple of the mean time between
/// its answers, after which the group counts as silent. With answers at random
/// times, such a pause has a probability of 6e-6.
constexpr double kSilenceFactor = 12.0;
constexpr Duration kMinSilence = std::chrono::milliseconds(300);
constexpr Duration kMaxSilence = std::chrono::seconds(2);
/// The same for all servers together after an idle time.
constexpr Duration kMaxFirstSilence = std::chrono::seconds(1);

/// Time without answers to requests and probes, after which a host does not
/// expect any even if no other host has answers.
constexpr Duration kLoneSilence = std::chrono::seconds(1);

/// Time for which probes are waited for before a silence counts.
constexpr Duration kProbeTime = std::chrono::milliseconds(250);

/// Time for which a connect that a busy server has accepted shows that it
/// works, and the silence of a group beyond which it does not.
constexpr Duration kAcceptMemory = std::chrono::seconds(3);
constexpr Duration kMaxBusySilence = std::chrono::seconds(6);

/// Time within which the connects of probes succeed if there is a path: two
/// round trips between regions.
constexpr Duration kProbeConnectTime = std::chrono::milliseconds(100);

/// Time for which failed connects, lost connections and other hosts' answers
/// are evidence.
constexpr Duration kConnectMemory = std::chrono::milliseconds(1500);
constexpr Duration kSuspicionMemory = std::chrono::milliseconds(500);
constexpr Duration kWitnessMemory = std::chrono::seconds(1);

/// Time for which another host's question is a reason to probe, and the age of
/// the last answer up to which there is none.
constexpr Duration kQuestionMemory = std::chrono::milliseconds(500);
constexpr Duration kRecentAnswer = std::chrono::seconds(1);

}  // namespace

void PathMonitor::ForgetFailures(TimePoint now) {
  std::erase_if(failing_, [&](BackendServerId server) {
    Server& record = servers_.at(server);
    return !IsWithin(record.connect_failed_at, kConnectMemory, now) &&
           !IsWithin(record.connection_lost_at, kConnectMemory, now);
  });
}

PathMonitor::Evidence PathMonitor::EvidenceOn(const PathGroup& id,
                                              const Group& group,
                                              TimePoint now) const {
  Evidence evidence;
  const auto is_member = [&id](const Server& record) {
    return std::ranges::find(record.groups, id) != record.groups.end();
  };
  for (const BackendServerId server : failing_) {
    const Server& record = servers_.at(server);
    if (!is_member(record))
      continue;
    const bool refuses =
        (record.connect_failed_at > group.last_connect &&
         IsWithin(record.connect_failed_at, kConnectMemory, now)) ||
        ClosesUnanswered(record, group, now);
    const bool was_lost =
        record.connection_lost_at > group.last_connect &&
        IsWithin(record.connection_lost_at, kSuspicionMemory, now);
    if (refuses) {
      evidence.servers.insert(server);
      evidence.refusing.insert(server);
    }
    evidence.failing += refuses || was_lost ? 1 : 0;
  }
  if (!IsSilent(id, group, now))
    return evidence;
  for (const BackendServerId server : running_) {
    const Server& record = servers_.at(server);
    const TimePoint since = std::max(group.changed_at, resumed_at_);
    if (!is_member(record) || !record.silence.IsQuiet(since, now))
      continue;
    ++evidence.silent;
    // Something between may accept connections, but hardly for all servers that
    // are known to be busy.
    const bool is_at_work = id.kind != PathGroup::Kind::kAll &&
                            record.silence.is_busy() &&
                            record.connect_failed_at == TimePoint{} &&
                            IsWithin(record.connected_at, kAcceptMemory, now) &&
                            SilenceOf(group, now) < kMaxBusySilence;
    if (!is_at_work && record.silence.IsOverdue(since, now))
      evidence.servers.insert(server);
    else
      ++evidence.busy;
  }
  return evidence;
}

bool PathMonitor::ClosesUnanswered(const Server& record,
                                   const Group& group,
                                   TimePoint now) const {
  // Something between may accept connections and close them: only an answer
  // shows that there is a path. Busy servers close connections as well.
  const Duration enough = record.silence.is_busy() ? kMaxSilence : kMinSilence;
  return record.connection_lost_at > group.last_answer &&
         SilenceOf(group, now) > enough &&
         IsWithin(record.connection_lost_at, kConnectMemory, now);
}

bool PathMonitor::IsHopeless(BackendServerId server,
                             TimePoint sent_at,
                             TimePoint now) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && ReachOf(server) == ServerReach::kNone &&
         found->second.silence.IsOverdue(sent_at, resumed_at_, now);
}

bool PathMonitor::IsWorthProbing(const Group& group,
                                 BackendServerId server,
                                 TimePoint now) const {
  const Server& record = servers_.at(server);
  return group.state == State::kLost || !record.silence.is_busy() ||
         !IsWithin(record.connected_at, kConnectMemory, now);
}

bool PathMonitor::AreSeveral(const std::set<BackendServerId>& servers,
                             const Group& group) const {
  const std::size_t needed = std::max(
      kMinServersOfSmallGroup, std::min(kMinServers, group.members.size()));
  if (servers.size() < needed)
    return false;
  const FailureDomainId first = servers_.at(*servers.begin()).domain;
  return group.domains.size() == 1 ||
         std::ranges::any_of(servers, [&](BackendServerId server) {
           return servers_.at(server).domain != first;
         });
}

Duration PathMonitor::SilenceOf(const Group& group, TimePoint now) const {
  return now - std::max(group.last_answer, resumed_at_);
}

bool PathMonitor::IsSilent(const PathGroup& id,
                           const Group& group,
                           TimePoint now) const {
  if (group.running == 0)
    return false;
  // The first answers after an idle time take as long as the work does.
  if (group.busy_since - group.last_answer > kMinSilence) {
    const Duration limit =
        id.kind == PathGroup::Kind::kAll ? kMaxFirstSilence : kMaxSilence;
    return now - std::max(group.busy_since, resumed_at_) > limit;
  }
  const auto limit =
      Duration(static_cast<Duration::rep>(kSilenceFactor * group.mean_gap_ns));
  return SilenceOf(group, now) > std::clamp(limit, kMinSilence, kMaxSilence);
}

bool PathMonitor::NeedsProbes(const PathGroup& id,
                              const Group& group,
                              TimePoint now) const {
  if (IsIncluded(id))
    return false;
  if (group.state == State::kLost)
    return true;
  if (IsWithin(group.asked_at, kQuestionMemory, now) &&
      !IsWithin(group.last_answer, kRecentAnswer, now))
    return true;
  const bool can_be_lost = group.members.size() >= kMinServersOfSmallGroup;
  if (!can_be_lost || (failing_.empty() && !IsSilent(id, group, now)))
    return false;
  const Evidence evidence = EvidenceOn(id, group, now);
  return evidence.silent > 0 || evidence.failing >= kMinServersOfSmallGroup;
}

void PathMonitor::NoteDoubts(const Evidence& evidence,
                             Group& group,
                             TimePoint now) const {
  if (evidence.silent == 0)
    group.suspected_at = TimePoint{};
  else if (group.suspected_at == TimePoint{})
    group.suspected_at = now;
  if (!AreSeveral(evidence.refusing, group))
    group.refused_at = TimePoint{};
  else if (group.refused_at == TimePoint{})
    group.refused_at = now;
}

bool PathMonitor::FailsConnects(const Group& group, TimePoint now) {
  return group.refused_at != TimePoint{} &&
         now - group.refused_at >= kProbeConnectTime;
}

bool PathMonitor::HasWitness(const Group& group, TimePoint now) {
  return group.witness && group.witness->answered_at > group.last_answer &&
         IsWithin(group.witness->answered_at, kWitnessMemory, now);
}

bool PathMonitor::IsAbandoned(const PathGroup& id,
                              const Evidence& evidence,
                              const Group& group,
                              TimePoint now) const {
  if (group.suspected_at == TimePoint{} || !AreSeveral(evidence.servers, group))
    return false;
  // Probes have had time to be answered. Without another host's answers, all
  // servers may be down; requests to them are refused at once all the same.
  const Duration doubted = now - group.suspected_at;
  if (HasWitness(group, now))
    return doubted >= kProbeTime;
  return id.kind == PathGroup::Kind::kAll && doubted >= kLoneSilence;
}

}  // namespace comfreyvane
