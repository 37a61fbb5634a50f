/// @file
/// Decides whether the keys in force can be trusted.
#ifndef COMFREYVANE_SPREAD_FRESHNESS_CORE_H_
#define COMFREYVANE_SPREAD_FRESHNESS_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/refusal.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/config/access_policy.h"
#include "comfreyvane/member/peer_graph.h"
#include "comfreyvane/spread/freshness_action.h"
#include "comfreyvane/spread/freshness_settings.h"
#include "comfreyvane/storage/table_reading.h"

namespace comfreyvane {

/// Decides whether the keys in force can be trusted. Keyed requests are served
/// only on a proof, not older than proof_validity, that no revision beyond the
/// one in force was accepted: a read of the head row, or a statement of every
/// acceptor. The age counts from when the question was sent, on the clock of
/// the host that sent it. Without I/O; not thread safe.
class FreshnessCore {
 public:
  /// @param self this host and its incarnation.
  FreshnessCore(Acceptor self, FreshnessSettings settings);

  /// Takes the peers to ask. To be called when the graph changes.
  void SetGraph(const PeerGraph& graph);

  /// Takes the revision in force on this host; never lower than before.
  void SetInForce(Revision revision);

  /// Asks for evidence. To be called every 50 ms or so.
  [[nodiscard]] FreshnessActions OnTick(TimePoint now);

  /// Takes the rows kHeadKey and kAcceptorsKey.
  /// @param number of the ReadHead action.
  [[nodiscard]] FreshnessActions OnHeadRead(std::uint64_t number,
                                            const TableReading& reading,
                                            TimePoint now);

  /// Takes a message.
  /// @param own what this host states as an acceptor, if it is one.
  [[nodiscard]] FreshnessActions OnMessage(
      HostId from,
      const FreshnessMessage& message,
      const std::optional<AcceptorStatement>& own,
      TimePoint now);

  /// Takes what this host states as an acceptor, at this moment. To be called
  /// on each tick of an acceptor.
  void OnOwnStatement(const AcceptorStatement& statement, TimePoint now);

  /// To be asked at admission and again at the moment of dispatch.
  /// @param key the caller's key; ignored on open routes.
  /// @return a refusal as not run, or none.
  [[nodiscard]] std::optional<Refusal> MayServe(AccessPolicy access,
                                                KeyId key,
                                                TimePoint now) const;

  /// @return when the newest valid proof was begun, or none.
  [[nodiscard]] std::optional<TimePoint> proved_at() const;

  /// @return the newest set of acceptors that this host has heard of.
  [[nodiscard]] const AcceptorSet& acceptors() const { return acceptors_; }

 private:
  struct Question {
    HostId to;
    TimePoint sent;
    bool answered = false;
  };
  struct Proof {
    TimePoint at;
    Revision revision;
    std::vector<KeyId> pending_keys;
  };
  struct TimedStatement {
    AcceptorStatement statement;
    TimePoint at;
  };

  void Ask(HostId to, TimePoint now, FreshnessActions& actions);
  void AskRelays(TimePoint now, FreshnessActions& actions);
  void AskAcceptors(TimePoint now, FreshnessActions& actions);
  void DropQuestions(TimePoint now);
  void TakeStore(const HeadRow& head, TimePoint at);
  void TakeStatement(const AcceptorStatement& statement, TimePoint at);
  void TakeSet(const AcceptorSet& set);
  void ProveByStatements();
  [[nodiscard]] bool IsAcceptor() const { return acceptors_.Has(self_); }
  [[nodiscard]] bool StoreAnswers(TimePoint now) const;
  [[nodiscard]] bool IsValid(const Proof& proof, TimePoint now) const;
  [[nodiscard]] FreshnessAnswer AnswerTo(
      const FreshnessQuestion& question,
      const std::optional<AcceptorStatement>& own,
      TimePoint now) const;

  Acceptor self_;
  FreshnessSettings settings_;
  PeerGraph graph_;
  Revision in_force_;
  AcceptorSet acceptors_;
  std::uint64_t next_number_;
  std::uint64_t attempt_ = 0;
  std::optional<TimePoint> next_read_;
  std::optional<TimePoint> next_ask_;
  std::map<std::uint64_t, TimePoint> reads_;
  std::map<std::uint64_t, Question> questions_;
  std::map<HostId, TimedStatement> statements_;
  std::optional<Proof> store_;         ///< The newest read.
  std::optional<Proof> proved_store_;  ///< The newest not beyond in force.
  std::optional<Proof> proved_statements_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_FRESHNESS_CORE_H_
