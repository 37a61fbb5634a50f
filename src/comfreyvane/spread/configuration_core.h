/// @file
/// All that a host decides about configurations.
#ifndef COMFREYVANE_SPREAD_CONFIGURATION_CORE_H_
#define COMFREYVANE_SPREAD_CONFIGURATION_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/refusal.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/config/access_policy.h"
#include "comfreyvane/member/member_view.h"
#include "comfreyvane/member/peer_graph.h"
#include "comfreyvane/spread/accept_core.h"
#include "comfreyvane/spread/acceptor_core.h"
#include "comfreyvane/spread/configuration_action.h"
#include "comfreyvane/spread/configuration_settings.h"
#include "comfreyvane/spread/freshness_core.h"
#include "comfreyvane/spread/in_force_tracker.h"
#include "comfreyvane/spread/spread_core.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_reading.h"

namespace comfreyvane {

/// All that a host decides about configurations: the cores of this package,
/// with the actions that they direct at each other taken inside. Without I/O;
/// not thread safe.
class ConfigurationCore {
 public:
  /// @param now when the process started.
  ConfigurationCore(ConfigurationSettings settings, TimePoint now);

  /// Takes the members and this host's peers. To be called on each change.
  [[nodiscard]] ConfigurationActions SetMembers(MemberViewPtr view,
                                                const PeerGraph& graph,
                                                TimePoint now);

  /// To be called every 50 ms or so.
  [[nodiscard]] ConfigurationActions OnTick(TimePoint now);

  /// Takes a message of a peer's SpreadCore.
  [[nodiscard]] ConfigurationActions OnMessage(HostId from,
                                               const SpreadMessage& message,
                                               TimePoint now);

  /// Takes a message of a peer's FreshnessCore.
  [[nodiscard]] ConfigurationActions OnMessage(HostId from,
                                               const FreshnessMessage& message,
                                               TimePoint now);

  /// Takes the result of a ReadRows.
  [[nodiscard]] ConfigurationActions OnRead(std::uint64_t number,
                                            const TableReading& reading,
                                            TimePoint now);

  /// Takes the outcome of a CommitRows.
  [[nodiscard]] ConfigurationActions OnOutcome(const TableOutcome& outcome,
                                               TimePoint now);

  /// Takes an operator's change, here or passed on by another host.
  /// @param forwarded whether another host has passed it on; it is not passed
  /// on again.
  [[nodiscard]] ConfigurationActions OnApply(const OperatorRequest& request,
                                             bool forwarded,
                                             TimePoint now);

  /// MemberCore says that this host was out of touch.
  [[nodiscard]] ConfigurationActions OnSelfResumed(TimePoint now);

  /// This host leaves: its place as an acceptor goes to another.
  void Leave() { acceptor_.Leave(); }

  /// To be asked at admission and again at the moment of dispatch.
  /// @param key the caller's key; ignored on open routes.
  /// @return a refusal as not run, or none.
  [[nodiscard]] std::optional<Refusal> MayServe(AccessPolicy access,
                                                KeyId key,
                                                TimePoint now) const;

  /// @return the document in force, or null.
  [[nodiscard]] ConfigurationDocumentPtr in_force() const {
    return spread_.in_force();
  }

  /// @return the newest document held, the base of an operator's change, or
  /// null.
  [[nodiscard]] ConfigurationDocumentPtr held() const { return spread_.held(); }

  /// @return where the newest accepted revision is in force.
  [[nodiscard]] InForceStatus Status(TimePoint now) const {
    return tracker_.Status(*view_, now);
  }

  /// @return the acceptors as far as is known.
  [[nodiscard]] const AcceptorSet& acceptors() const;

  /// @return since when what is in force is known to have been the newest.
  [[nodiscard]] std::optional<TimePoint> proved_at() const {
    return freshness_.proved_at();
  }

 private:
  enum class Reader { kAccept, kSpread, kFreshness };

  struct Read {
    Reader reader;
    std::uint64_t number;
  };

  void Take(AcceptActions actions, TimePoint now, ConfigurationActions& out);
  void Take(SpreadActions actions, TimePoint now, ConfigurationActions& out);
  void Take(FreshnessActions actions, TimePoint now, ConfigurationActions& out);
  void StartRead(Reader reader,
                 std::uint64_t number,
                 std::vector<std::string> keys,
                 ConfigurationActions& out);
  [[nodiscard]] std::optional<AcceptorStatement> OwnStatement(
      TimePoint now) const;

  ConfigurationSettings settings_;
  AcceptCore accept_;
  AcceptorCore acceptor_;
  FreshnessCore freshness_;
  SpreadCore spread_;
  InForceTracker tracker_;
  MemberViewPtr view_;
  PeerGraph graph_;
  std::map<std::uint64_t, Read> reads_;
  std::uint64_t next_number_ = 1;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_CONFIGURATION_CORE_H_
