/// @file
/// Decides which hosts accept changes.
#ifndef COMFREYVANE_SPREAD_ACCEPTOR_CORE_H_
#define COMFREYVANE_SPREAD_ACCEPTOR_CORE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/member/member_view.h"
#include "comfreyvane/spread/accept_action.h"
#include "comfreyvane/spread/acceptor_set.h"
#include "comfreyvane/spread/acceptor_statement.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_row.h"

namespace comfreyvane {

/// Decides which hosts accept changes, and what this one states as an acceptor.
/// The set is changed only by one of its members, which states nothing from the
/// moment it asks for the change, so that the former set can prove nothing any
/// more when the new one accepts. Without I/O; not thread safe.
class AcceptorCore {
 public:
  /// @param self this host and its incarnation.
  explicit AcceptorCore(Acceptor self);

  /// Replaces dead or leaving acceptors. To be called every 50 ms or so.
  /// @param relay whether this host is a relay of its failure domain; relays
  /// make the first set.
  [[nodiscard]] AcceptActions OnTick(const MemberView& view,
                                     bool relay,
                                     TimePoint now);

  /// Takes row kAcceptorsKey, from FreshnessCore's AcceptorsRowSeen.
  /// @param begun when the read was begun.
  void OnRow(const TableRow& row, TimePoint begun);

  /// Takes the outcome of a CommitRows.
  [[nodiscard]] AcceptActions OnOutcome(const TableOutcome& outcome,
                                        TimePoint now);

  /// Hands this host's place to another, before a planned stop.
  void Leave() { leaving_ = true; }

  /// @return whether this host is an acceptor; others pass changes on to one.
  [[nodiscard]] bool MayAccept() const;

  /// @return the set as this host knows it.
  [[nodiscard]] const AcceptorSet& set() const { return set_; }

  /// @param committed the newest revision known to be committed.
  /// @param pending_keys of a change that may be committed.
  /// @return the statement, or none when this host may not make it.
  [[nodiscard]] std::optional<AcceptorStatement> Statement(
      Revision committed,
      std::vector<KeyId> pending_keys,
      TimePoint now) const;

 private:
  [[nodiscard]] bool MayChange(const MemberView& view,
                               bool relay,
                               TimePoint now);
  [[nodiscard]] std::vector<Acceptor> Wanted(const MemberView& view) const;
  [[nodiscard]] bool IsFit(const Acceptor& acceptor,
                           const MemberView& view) const;
  void Fill(std::vector<Acceptor>& wanted, const MemberView& view) const;
  void Change(AcceptorSet changed, TimePoint now, AcceptActions& actions);
  [[nodiscard]] bool IsChangingSet() const;

  Acceptor self_;
  TableRow row_;
  AcceptorSet set_;
  bool leaving_ = false;
  std::optional<TimePoint> read_begun_;  ///< Of the newest reading of the row.
  std::optional<TimePoint> lease_from_;  ///< The row was renewed after this.
  TimePoint changed_at_;                 ///< When change_ was asked for.
  std::optional<TimePoint> unattended_since_;
  std::optional<TableTransaction> change_;  ///< May have taken effect.
  AcceptorSet changed_;                     ///< What it sets.
  bool uncertain_ = false;
  std::optional<TimePoint> repeat_at_;
  std::uint64_t next_number_ = 1;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_ACCEPTOR_CORE_H_
