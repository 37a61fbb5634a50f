/// @file
/// A host's part of every limit, kept by the store and by witnesses.
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

/// Holds grants of the table of shares for one host, and guards those of its
/// peers. A grant's base part needs no other host for as long as its long
/// lease runs. Its dynamic part needs a renewal by one of two witnesses every
/// few seconds; when both have stopped renewing, one takes it over.
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

  /// To be called every 250 ms.
  [[nodiscard]] GrantManagerActions OnTick(TimePoint now);

  /// @return an answer, if one is due at once.
  [[nodiscard]] GrantManagerActions OnPeerMessage(HostId from,
                                                  const GrantMessage& message,
                                                  TimePoint now);

  [[nodiscard]] GrantManagerActions OnSharesOutcome(
      const SharesOutcome& outcome,
      TimePoint now);

  [[nodiscard]] GrantManagerActions OnSharesReading(
      const SharesReading& reading,
      TimePoint now);

  /// @param peers the live peers, without this host and leaving ones.
  void OnPeers(std::span<const PeerHost> peers, TimePoint now);

  /// Stops using all grants, once each LimitShard has stopped, and hands them
  /// to witnesses. `OnTick` repeats the releases until `released()`.
  [[nodiscard]] GrantManagerActions Stop(TimePoint now);

  /// @return what LimitShard::OnOwnShare has to be told.
  [[nodiscard]] OwnShare own_share(TimePoint now) const;
  /// @return whether a stopping host has nothing left to give back.
  [[nodiscard]] bool released() const;
  /// @return the table as last read or written.
  [[nodiscard]] const ShareTable& table() const { return table_; }

 private:
  /// A witness of a holding, as its holder sees it.
  struct Witness {
    HostIncarnation host;
    TimePoint last_received_at;   ///< Stamp of the last ask that it answered.
    std::int64_t confirmed = -1;  ///< Dynamic units that it has recorded.
    bool fenced = false;          ///< It renews no more.
  };
  struct Holding {
    std::int64_t base = 0;
    std::int64_t dynamic = 0;
    TimePoint expiry;            ///< End of the long lease.
    TimePoint renewed_at;        ///< Last write to the table.
    TimePoint renewed_until;     ///< End of the witnesses' lease.
    TimePoint usable_from;       ///< Loans of a former holder have lapsed.
    bool has_witnesses = false;  ///< Guardians are named and must renew.
    bool is_closing = false;     ///< Guardians are asked to record zero units.
    bool is_merging = false;     ///< Goes to the home grant once closed.
    TimePoint witnesses_chosen_at;     ///< When the witnesses were named.
    std::array<Witness, 2> witnesses;  ///< Successor, voter.
    std::optional<GrantId> origin;     ///< Taken over, not in the table yet.
    std::optional<std::size_t> released_to;  ///< Index of a witness.
  };
  struct WitnessRecord {
    HostIncarnation holder;
    HostIncarnation successor;
    HostIncarnation voter;
    std::int64_t dynamic = 0;
    TimePoint latest_expiry;  ///< By then all renewals given have lapsed.
    TimePoint expiry;         ///< End of the long lease, on this host's clock.
    bool fenced = false;      ///< Never renewed again.
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
  /// Dynamic units on their way to the grant of another host.
  struct Transfer {
    GrantId from;
    std::int64_t units = 0;
    HostIncarnation to;
    TimePoint started;
  };

  // share_keeper.cc
  void EraseExpired(TimePoint now);
  void FlushOutboxes(GrantManagerActions& actions, TimePoint now);
  [[nodiscard]] HostIncarnation self() const;
  [[nodiscard]] Peer* FindLivePeer(const HostIncarnation& host);

  // share_keeper_guard.cc: as a witness of peers' grants.
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

  // share_keeper_holder.cc: as the holder of guarded grants.
  void ApplyRenewal(const Peer& peer,
                    const GrantRenewal& renewal,
                    TimePoint echo);
  void ChooseWitnesses(Holding& holding, TimePoint now);
  [[nodiscard]] bool HasLostWitness(const Holding& holding, TimePoint now);
  void ReplaceWitnesses(TimePoint now);
  void RequestRenewals(TimePoint now);
  void QueueReleases(TimePoint now);

  // share_keeper_table.cc: grants in the table service.
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
