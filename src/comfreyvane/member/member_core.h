/// @file
/// Decides which hosts are live.
#ifndef COMFREYVANE_MEMBER_MEMBER_CORE_H_
#define COMFREYVANE_MEMBER_MEMBER_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/random_source.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/member/domain_reach.h"
#include "comfreyvane/member/member_action.h"
#include "comfreyvane/member/member_message.h"
#include "comfreyvane/member/member_settings.h"
#include "comfreyvane/member/member_view.h"
#include "comfreyvane/member/peer_graph.h"
#include "comfreyvane/member/roster.h"
#include "comfreyvane/member/rumour_queue.h"
#include "comfreyvane/storage/host_listing.h"

namespace comfreyvane {

/// Rumours that one heartbeat carries, at most.
inline constexpr std::size_t kRumoursPerMessage = 8;

/// Members that one sync reply carries, at most.
inline constexpr std::size_t kRumoursPerSync = 96;

/// Decides which hosts are live, leaving or dead, from the platform's lagging
/// list, direct heartbeats and rumours. A host is declared dead by the hosts of
/// its own failure domain; towards another domain only its reachability as a
/// whole is decided. Without I/O; not thread safe.
class MemberCore {
 public:
  /// @param settings this host and the periods.
  /// @param seed of the random choices of probe helpers.
  /// @param now when the process started.
  MemberCore(MemberSettings settings, std::uint64_t seed, TimePoint now);

  /// Sends heartbeats, suspects and declares. To be called every 50 ms or so.
  /// A gap above the pause threshold counts as a pause of this process.
  /// @return the actions to take.
  [[nodiscard]] MemberActions OnTick(TimePoint now);

  /// Takes the platform's list: adds hosts and marks those leaving.
  [[nodiscard]] MemberActions OnHostList(const std::vector<HostListing>& list,
                                         TimePoint now);

  /// Takes a message.
  /// @param from the sender, as the transport knows it.
  [[nodiscard]] MemberActions OnMessage(HostId from,
                                        const MemberMessage& message,
                                        TimePoint now);

  /// Announces that this host leaves. May be repeated.
  [[nodiscard]] MemberActions Leave(TimePoint now);

  /// @return the present view; a new object after each change.
  [[nodiscard]] MemberViewPtr view() const { return view_; }

  /// @return this host's present peers.
  [[nodiscard]] const PeerGraph& graph() const { return graph_; }

  /// @return this host's identifier.
  [[nodiscard]] HostId self() const { return self_; }

 private:
  void NoticePause(TimePoint now, MemberActions& actions);
  void Beat(HostId to, bool reply_wanted, MemberActions& actions);
  void BeatWith(HostId to,
                const MemberRumour& rumour,
                bool reply_wanted,
                MemberActions& actions);
  void BeatPeers(MemberActions& actions);
  void Suspect(Roster::Entry& entry, TimePoint now, MemberActions& actions);
  void WatchDomains(TimePoint now, MemberActions& actions);
  void ProbeDomain(FailureDomainId domain,
                   std::size_t count,
                   MemberActions& actions);
  void Hear(HostId from,
            const Heartbeat& beat,
            TimePoint now,
            MemberActions& actions);
  void HearSender(HostId from,
                  const Heartbeat& beat,
                  TimePoint now,
                  MemberActions& actions);
  void PassOn(const DomainRumour& rumour, HostId heard, TimePoint now);
  void Probe(HostId from, const ProbeRequest& request, MemberActions& actions);
  void AnswerSync(HostId from,
                  const SyncRequest& request,
                  MemberActions& actions);
  void TakeRumour(const MemberRumour& rumour,
                  TimePoint now,
                  MemberActions& actions);
  void TakeOwn(const MemberRumour& rumour,
               TimePoint now,
               MemberActions& actions);
  void Restate(std::uint32_t version, TimePoint now);
  void AskSync(HostId from, TimePoint now, MemberActions& actions);
  void Finish(TimePoint now, MemberActions& actions);
  void Publish(TimePoint now, MemberActions& actions);
  void SetGraph(TimePoint now);
  [[nodiscard]] Heartbeat OwnBeat(HostId to) const;
  [[nodiscard]] std::vector<HostId> Helpers(HostId target);

  MemberSettings settings_;
  HostId self_;
  FailureDomainId own_domain_;
  RandomSource random_;
  Roster roster_;
  DomainReach reach_;
  RumourQueue rumours_;
  std::size_t rounds_ = 0;  ///< Of heartbeats.
  MemberViewPtr view_;
  PeerGraph graph_;
  bool dirty_ = true;   ///< The view is to be made anew.
  bool urgent_ = true;  ///< A rumour is to be passed on at once.
  TimePoint last_event_;
  TimePoint next_beat_;
  TimePoint next_sync_;
  TimePoint next_forget_;
  std::optional<TimePoint> next_readmission_;
  std::map<HostId, HostId> probe_requests_;  ///< Requester by target.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_MEMBER_CORE_H_
