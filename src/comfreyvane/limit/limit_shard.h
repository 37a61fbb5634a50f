/// @file
/// Admission control for one shard of the limits, with loans between hosts.
#ifndef COMFREYVANE_LIMIT_LIMIT_SHARD_H_
#define COMFREYVANE_LIMIT_LIMIT_SHARD_H_

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/limit/admission.h"
#include "comfreyvane/limit/admission_bucket.h"
#include "comfreyvane/limit/lease_terms.h"
#include "comfreyvane/limit/loan_message.h"
#include "comfreyvane/limit/own_share.h"
#include "comfreyvane/limit/peer_host.h"
#include "comfreyvane/limit/send_loan_message.h"

namespace comfreyvane {

/// Interval of the regular messages to each peer.
inline constexpr Duration kLoanInterval = std::chrono::milliseconds(250);

/// Admission control for one shard of the limits of a host. Holds the buckets
/// of the limits, and lends and borrows shares so that they follow demand. A
/// shard exchanges messages with the same shard of each peer, so all hosts must
/// have the same number of shards. Not thread-safe.
class LimitShard {
 public:
  struct Options {
    HostId self;
    Incarnation incarnation;
    std::uint32_t shard = 0;
    LeaseTerms terms;
  };

  LimitShard(const Options& options, TimePoint now);

  /// Takes tokens of a limit, all or none. Does not admit for an unknown limit.
  /// @param cost tokens, more than zero.
  /// @param now must be read immediately before the call.
  [[nodiscard]] Admission TryTake(LimitId limit,
                                  std::int64_t cost,
                                  TimePoint now);

  /// Must be called every kLoanInterval, and soon after an Admission with
  /// `exchange_requested`.
  [[nodiscard]] std::vector<SendLoanMessage> OnTick(TimePoint now);

  /// @return the messages to send at once, if any.
  [[nodiscard]] std::vector<SendLoanMessage>
  OnPeerMessage(HostId from, const LoanMessage& message, TimePoint now);

  /// Applies the limits of a configuration. Limits that are not listed are
  /// removed. A revision older than the current one is ignored.
  void OnLimits(std::span<const Limit> limits,
                Revision revision,
                TimePoint now);

  /// @param peers the live peers, without this host.
  void OnPeers(std::span<const PeerHost> peers, TimePoint now);

  /// @param own the result of GrantManager::own_share().
  void OnOwnShare(const OwnShare& own, TimePoint now);

  /// Lends everything held to peers, returns everything borrowed and accepts no
  /// more loans. Must be called before GrantManager::Stop.
  [[nodiscard]] std::vector<SendLoanMessage> Stop(TimePoint now);

  /// @return the bucket of a limit, or null.
  [[nodiscard]] const AdmissionBucket* bucket(LimitId limit) const;
  /// @return the share of a limit that peers hold or may hold.
  [[nodiscard]] Share lent(LimitId limit) const;
  [[nodiscard]] Revision revision() const { return revision_; }

 private:
  struct LentLoan {
    Incarnation borrower;
    std::uint64_t version = 0;
    Share share;
    Share outstanding;        ///< Maximum that the borrower may hold.
    std::int64_t tokens = 0;  ///< Nano-tokens sent with this version.
    bool is_acked = false;
    TimePoint latest_expiry;  ///< Of all messages with this loan.
  };
  struct BorrowedLoan {
    std::uint64_t version = 0;     ///< Newest version applied.
    std::int64_t returned = 0;     ///< Nano-tokens returned with that version.
    bool in_last_message = false;  ///< Listed in the lender's newest message.
  };
  struct PeerDemand {
    double demand = 0;
    double fill = 0;
  };
  struct LimitState {
    LimitState(const Limit& limit, const LeaseTerms& terms, TimePoint now)
        : bucket(limit, now, terms.drift_divisor),
          demand_measured_at(now),
          removed_at(now),
          next_urgent_at(now) {}

    AdmissionBucket bucket;
    std::int64_t measured_offered = 0;
    double demand = 0;  ///< Tokens per second.
    TimePoint demand_measured_at;
    /// Tokens expected since the last arrival, according to `demand`.
    double expected_since_arrival = 0;
    bool is_removed = false;  ///< Not in the current configuration.
    TimePoint removed_at;
    TimePoint next_urgent_at;
    Duration urgent_interval = std::chrono::milliseconds(25);
    std::unordered_map<HostId, LentLoan> lent;
    std::unordered_map<HostId, BorrowedLoan> borrowed;
    std::unordered_map<HostId, PeerDemand> peers;
  };
  struct Peer {
    std::optional<MessageStamp> last_stamp;
    TimePoint last_received_at;
    std::int64_t own_units = 0;
    bool is_leaving = false;
    bool is_live = false;
    bool has_urgent_update = false;  ///< Must be sent a message at once.
  };
  struct Target {
    HostId host;
    Share own;
    Share desired;
  };

  void EraseRemovedLimits(TimePoint now);
  [[nodiscard]] bool IsReachable(const Peer& peer, TimePoint now) const;
  [[nodiscard]] bool ShouldAccept(HostId from, const LoanMessage& message);
  void DropLoansFrom(HostId from, TimePoint now);
  void ApplyReports(HostId from, const LoanMessage& message);
  void ApplyAcks(HostId from, const LoanMessage& message, TimePoint now);
  void ApplyLoans(HostId from, const LoanMessage& message, TimePoint now);
  void ApplyLoan(HostId from,
                 const Loan& loan,
                 TimePoint expiry,
                 TimePoint now);

  void UpdateDemand(LimitState& state, TimePoint now);
  void Balance(TimePoint now);
  void BalanceLimit(LimitState& state, TimePoint now);
  [[nodiscard]] std::vector<Target> ComputeTargets(const LimitState& state,
                                                   TimePoint now) const;
  void Lend(LimitState& state, HostId to, Share desired, TimePoint now);
  void EraseExpiredLoans(LimitState& state, TimePoint now);
  void ReduceLoansToOwnShare(LimitState& state, TimePoint now);
  [[nodiscard]] static Share Outstanding(const LimitState& state);
  void RefreshOwnSlices(LimitState& state, TimePoint now);

  [[nodiscard]] Duration LoanLifetime(TimePoint now) const;
  [[nodiscard]] LoanMessage BuildMessage(HostId to, TimePoint now);
  [[nodiscard]] std::vector<SendLoanMessage> Send(bool urgent_only,
                                                  TimePoint now);

  HostId self_;
  Incarnation incarnation_;
  std::uint32_t shard_;
  LeaseTerms terms_;
  Revision revision_;
  OwnShare own_;
  bool is_stopping_ = false;
  /// The next messages request immediate replies.
  bool exchange_is_urgent_ = false;
  TimePoint fast_exchange_until_;  ///< Received messages rebalance until then.
  TimePoint balanced_at_;
  TimePoint next_tick_;
  std::uint64_t version_ = 0;
  std::uint64_t sequence_ = 0;
  std::unordered_map<LimitId, LimitState> limits_;
  std::unordered_map<HostId, Peer> peers_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_LIMIT_SHARD_H_
