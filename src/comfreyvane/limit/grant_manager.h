/// @file
/// Manages the share of every limit that one host holds.
#ifndef COMFREYVANE_LIMIT_GRANT_MANAGER_H_
#define COMFREYVANE_LIMIT_GRANT_MANAGER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/limit/grant_manager_actions.h"
#include "comfreyvane/limit/grant_message.h"
#include "comfreyvane/limit/lease_terms.h"
#include "comfreyvane/limit/own_share.h"
#include "comfreyvane/limit/peer_host.h"
#include "comfreyvane/limit/share_table.h"
#include "comfreyvane/limit/shares_outcome.h"
#include "comfreyvane/limit/shares_reading.h"

namespace comfreyvane {

/// Holds this host's grants from the share table and acts as a witness for the
/// grants of its peers.
///
/// A grant has base units and dynamic units. The base units are usable without
/// any other host until the grant's long lease expires. The dynamic units have
/// a short lease (LeaseTerms::renewal_lifetime), which the successor or the
/// voter, the two witnesses of the grant, must keep renewing. After the
/// renewals of both have expired, the voter can fence the grant by a vote, and
/// the successor takes the dynamic units over.
class GrantManager {
 public:
  struct Options {
    HostId self;
    Incarnation incarnation;
    FailureDomainId failure_domain;
    RegionId region;
    LeaseTerms terms;
    std::uint64_t seed = 0;
  };

  GrantManager(const Options& options, TimePoint now);

  /// Must be called every 250 ms.
  [[nodiscard]] GrantManagerActions OnTick(TimePoint now);

  /// @return the replies to send at once, if any.
  [[nodiscard]] GrantManagerActions OnPeerMessage(HostId from,
                                                  const GrantMessage& message,
                                                  TimePoint now);

  [[nodiscard]] GrantManagerActions OnSharesOutcome(
      const SharesOutcome& outcome,
      TimePoint now);

  [[nodiscard]] GrantManagerActions OnSharesReading(
      const SharesReading& reading,
      TimePoint now);

  /// @param peers the live peers, without this host and without stopping hosts.
  void OnPeers(std::span<const PeerHost> peers, TimePoint now);

  /// Stops using all grants and releases them to witnesses. Must be called
  /// after LimitShard::Stop of every shard. `OnTick` resends the releases until
  /// `released()`.
  [[nodiscard]] GrantManagerActions Stop(TimePoint now);

  /// @return the value to pass to LimitShard::OnOwnShare.
  [[nodiscard]] OwnShare own_share(TimePoint now) const;
  /// @return whether the host is stopping and all its grants are released or
  /// expired.
  [[nodiscard]] bool released() const;
  /// @return the table as last read or written.
  [[nodiscard]] const ShareTable& table() const { return table_; }

 private:
  /// Holder's view of one witness of a grant.
  struct Witness {
    HostIncarnation host;
    TimePoint last_answered_at;  ///< Send time of the last request it answered.
    std::int64_t confirmed = -1;  ///< Dynamic units it has recorded; -1: none.
    bool fenced = false;          ///< It no longer renews the grant.
  };
  /// A grant held by this host.
  struct Holding {
    std::int64_t base = 0;
    std::int64_t dynamic = 0;
    TimePoint expiry;            ///< End of the long lease.
    TimePoint renewed_at;        ///< Last write to the table.
    TimePoint renewed_until;     ///< End of the witnesses' lease.
    TimePoint usable_from;       ///< Loans of the previous holder have expired.
    bool has_witnesses = false;  ///< Dynamic units need renewals.
    bool is_closing = false;     ///< Witnesses are to record zero units.
    bool is_merging = false;  ///< To be added to the first grant when closed.
    TimePoint witnesses_chosen_at;
    std::array<Witness, 2> witnesses;  ///< Successor, voter.
    std::optional<GrantId> origin;  ///< Taken over from; not in the table yet.
    std::optional<std::size_t> released_to;  ///< Index in `witnesses`.
  };
  /// A peer's grant that this host is a witness of.
  struct WitnessRecord {
    HostIncarnation holder;
    HostIncarnation successor;
    HostIncarnation voter;
    std::int64_t dynamic = 0;
    TimePoint latest_expiry;  ///< Of all renewals sent.
    TimePoint expiry;         ///< End of the long lease, on this host's clock.
    bool fenced = false;      ///< This host never renews the grant again.
    bool taken_over = false;  ///< Taken over by this host.
  };
  struct Peer {
    PeerHost host;
    std::optional<MessageStamp> last_stamp;
    TimePoint last_received_at;
    bool is_live = false;
    GrantMessage outbox;
  };
  struct PendingCommit {
    CommitShares commit;
    TimePoint first_sent;
    bool in_flight = false;
    bool completes_transfer = false;
  };
  struct ObservedGeneration {
    std::uint64_t generation = 0;
    TimePoint first_observed;
  };
  /// Dynamic units being transferred to a grant of another host.
  struct Transfer {
    GrantId from;
    std::int64_t units = 0;
    HostIncarnation to;
    TimePoint started;
  };

  // grant_manager.cc
  void EraseExpired(TimePoint now);
  void FlushOutboxes(GrantManagerActions& actions, TimePoint now);
  [[nodiscard]] HostIncarnation self() const;
  [[nodiscard]] Peer* FindLivePeer(const HostIncarnation& host);

  // grant_manager_witness.cc: as a witness of peers' grants.
  [[nodiscard]] bool ShouldAccept(HostId from,
                                  const GrantMessage& message) const;
  void ApplyRenewalRequest(Peer& peer,
                           const RenewalRequest& request,
                           TimePoint echo,
                           TimePoint now);
  void ApplyVoteRequest(Peer& peer, const VoteRequest& request, TimePoint now);
  void ApplyVote(const Peer& peer, const Vote& vote, TimePoint now);
  void ApplyRelease(Peer& peer,
                    const GrantRelease& release,
                    TimePoint echo,
                    TimePoint now);
  void RequestVotes(TimePoint now);

  // grant_manager_holder.cc: as the holder of grants with witnesses.
  void ApplyRenewal(const Peer& peer,
                    const GrantRenewal& renewal,
                    TimePoint echo);
  void ChooseWitnesses(Holding& holding, TimePoint now);
  [[nodiscard]] bool HasLostWitness(const Holding& holding, TimePoint now);
  void ReplaceWitnesses(TimePoint now);
  void RequestRenewals(TimePoint now);
  void QueueReleases(TimePoint now);

  // grant_manager_table.cc: grants in the table service.
  void ApplyTable(TimePoint now);
  void ConfirmHoldings(TimePoint written);
  void MarkMerges(TimePoint now);
  void PlanTransfer(TimePoint now);
  [[nodiscard]] bool CanFinishTransfer(TimePoint now) const;
  void PlanCommit(TimePoint now);
  [[nodiscard]] bool IsRenewalDue(TimePoint now) const;
  [[nodiscard]] bool RegisterTakeovers(ShareTable& table);
  [[nodiscard]] bool RemoveExpiredGrants(ShareTable& table,
                                         TimePoint now) const;
  [[nodiscard]] bool ClaimFreeUnits(ShareTable& table);
  [[nodiscard]] bool FinishMerges(ShareTable& table);
  [[nodiscard]] bool ReissueStalledGrants(ShareTable& table, TimePoint now);
  [[nodiscard]] bool IsStoreReachable(TimePoint now) const;
  [[nodiscard]] bool FinishTransfer(ShareTable& table, TimePoint now);
  void AddUnits(ShareTable& table,
                const HostIncarnation& to,
                std::int64_t units);
  [[nodiscard]] std::int64_t EqualShareUnits() const;
  [[nodiscard]] std::int64_t UnitsOf(const HostIncarnation& host) const;
  [[nodiscard]] GrantId NewGrantId();

  Options options_;
  RandomSource random_;
  std::map<GrantId, Holding> holdings_;
  std::map<GrantId, WitnessRecord> records_;
  std::map<HostId, Peer> peers_;
  ShareTable table_;
  Revision revision_;
  bool table_known_ = false;
  TimePoint table_read_at_;
  TimePoint next_read_;
  TimePoint next_plan_;
  std::map<GrantId, ObservedGeneration> generations_;
  std::optional<PendingCommit> pending_;
  std::optional<Transfer> transfer_;
  std::optional<TimePoint> stopped_at_;
  std::uint64_t next_grant_ = 0;
  std::uint64_t next_commit_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_GRANT_MANAGER_H_
