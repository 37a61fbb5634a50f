/// @file
/// Brings accepted configurations into force on this host.
#ifndef COMFREYVANE_SPREAD_SPREAD_CORE_H_
#define COMFREYVANE_SPREAD_SPREAD_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/member/member_view.h"
#include "comfreyvane/member/peer_graph.h"
#include "comfreyvane/spread/confirmation_board.h"
#include "comfreyvane/spread/head_row.h"
#include "comfreyvane/spread/spread_action.h"
#include "comfreyvane/spread/spread_settings.h"
#include "comfreyvane/storage/table_reading.h"

namespace comfreyvane {

/// Where a host stands with its configuration.
enum class SpreadPhase {
  kStarting,  ///< Serves nothing: what it holds may not be the newest.
  kReady,     ///< Serves by the revision in force.
};

/// Brings accepted configurations into force on this host, in their order and
/// never an older one. A revision comes into force when the live peers of the
/// own failure domain hold it too, so that a host that is replaced finds it
/// there. Without I/O; not thread safe.
class SpreadCore {
 public:
  /// @param self this host.
  /// @param incarnation of this process.
  /// @param now when the process started.
  SpreadCore(HostId self,
             Incarnation incarnation,
             SpreadSettings settings,
             TimePoint now);

  /// Takes the members and this host's peers. To be called on each change.
  [[nodiscard]] SpreadActions SetMembers(MemberViewPtr view,
                                         const PeerGraph& graph,
                                         TimePoint now);

  /// Sends notices and repeats requests. To be called every 50 ms or so.
  [[nodiscard]] SpreadActions OnTick(TimePoint now);

  /// Takes a message.
  [[nodiscard]] SpreadActions OnMessage(HostId from,
                                        const SpreadMessage& message,
                                        TimePoint now);

  /// Takes a change that this host has accepted.
  [[nodiscard]] SpreadActions OnAccepted(const ConfigurationDelta& delta,
                                         TimePoint now);

  /// Takes the head as the store or a peer has shown it.
  /// @param begun when the read was begun; none when it came from a peer.
  [[nodiscard]] SpreadActions OnHead(const HeadRow& head,
                                     std::optional<TimePoint> begun,
                                     TimePoint now);

  /// Takes the result of a ReadRows.
  [[nodiscard]] SpreadActions OnRead(std::uint64_t number,
                                     const TableReading& reading,
                                     TimePoint now);

  /// This host was out of touch: it serves nothing until what it holds is
  /// proved again.
  [[nodiscard]] SpreadActions Reprove(TimePoint now);

  /// @return whether this host may serve, open routes included.
  [[nodiscard]] SpreadPhase phase() const { return phase_; }

  /// @return the document in force, or null.
  [[nodiscard]] ConfigurationDocumentPtr in_force() const { return in_force_; }

  /// @return the newest document held, or null.
  [[nodiscard]] ConfigurationDocumentPtr held() const { return held_; }

 private:
  struct Peer {
    Incarnation incarnation;
    Revision held;
    Revision in_force;
    bool proved = false;
    bool known = false;           ///< Of this incarnation.
    bool answered = false;        ///< This host's present question.
    bool answers_proved = false;  ///< The answer was of a proved host.
    TimePoint heard;
    std::optional<TimePoint> pushed;
  };

  void Hear(HostId from,
            const RevisionNotice& notice,
            TimePoint now,
            SpreadActions& actions);
  void Take(const std::vector<ConfigurationDelta>& deltas);
  void TakeFull(const ConfigurationDocument& document);
  void Hold(ConfigurationDocument document);
  void Confirm(SpreadActions& actions);
  void Seek(SpreadActions& actions);
  void Advance(Revision before, TimePoint now, SpreadActions& actions);
  void TryReady(TimePoint now);
  void TryForce(TimePoint now, SpreadActions& actions);
  void Push(HostId to, TimePoint now, SpreadActions& actions);
  void PushToPeers(TimePoint now, SpreadActions& actions);
  void Notify(HostId to, SpreadActions& actions);
  [[nodiscard]] RevisionNotice OwnNotice() const;
  void NotifyPeers(SpreadActions& actions);
  void NotifyCounters(SpreadActions& actions);
  void CatchUp(TimePoint now, SpreadActions& actions);
  void ReadMissing(SpreadActions& actions);
  void Read(std::vector<std::string> keys, SpreadActions& actions);
  [[nodiscard]] Revision held_revision() const;
  [[nodiscard]] bool PeersProve() const;
  [[nodiscard]] bool IsHeldNearby(Revision revision, TimePoint now) const;
  [[nodiscard]] const Peer* PeerOf(HostId host) const;

  HostId self_;
  Incarnation incarnation_;
  SpreadSettings settings_;
  SpreadPhase phase_ = SpreadPhase::kStarting;
  MemberViewPtr view_;
  PeerGraph graph_;
  std::vector<HostId> targets_;   ///< Peers that are sent to.
  std::vector<HostId> siblings_;  ///< Others of the own domain.
  std::vector<HostId> counters_;  ///< Relays that count confirmations.
  std::uint64_t rounds_ = 0;      ///< Of notices.
  std::uint64_t question_;        ///< Of the present start; never zero.
  std::map<HostId, Peer> peers_;
  ConfigurationDocumentPtr held_;
  ConfigurationDocumentPtr in_force_;
  std::deque<ConfigurationDocumentPtr> waiting_;  ///< Held, not in force.
  std::deque<ConfigurationDelta> history_;
  Revision newest_;  ///< The newest known of.
  bool store_proved_ = false;
  TimePoint started_;
  TimePoint next_notice_;
  TimePoint next_request_;
  TimePoint next_head_read_;
  std::uint64_t requests_ = 0;  ///< Without effect since the last advance.
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, TimePoint> reads_;
  ConfirmationBoard board_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_SPREAD_CORE_H_
