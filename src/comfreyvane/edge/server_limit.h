/// @file
/// Request limit of one backend server.
#ifndef COMFREYVANE_EDGE_SERVER_LIMIT_H_
#define COMFREYVANE_EDGE_SERVER_LIMIT_H_

#include <cstddef>
#include <optional>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/limit_change.h"
#include "comfreyvane/edge/limit_rank.h"
#include "comfreyvane/edge/limit_report.h"
#include "comfreyvane/edge/named_limit.h"

namespace comfreyvane {

/// Keeps all hosts together within the request limit that one backend server
/// names in its answers. Part of BackendPicker.
///
/// The first hosts of a ranking are the senders: they have equal parts of the
/// limit and no burst, so the sum keeps the limit without a message on a
/// request's way, also while hosts cannot reach each other. Their number grows
/// with the limit, since each may hold one token. All other hosts send nothing.
///
/// A limit ends when an answer no longer names it, which only hosts that send
/// requests can see. If nobody has heard from the server for some time, because
/// its senders are gone or cannot tell, the other hosts send single requests in
/// the order of their ranks.
class ServerLimit {
 public:
  /// Records what an answer of the server names. An answer without a limit ends
  /// the limit only if its request was sent after the limit was last named,
  /// since answers may arrive out of order.
  /// @param sent_at when the answered request was sent.
  [[nodiscard]] LimitChange OnAnswer(const NamedLimit& named,
                                     TimePoint sent_at,
                                     TimePoint now);

  /// Records what another host has heard, if that is newer.
  [[nodiscard]] LimitChange OnReport(const LimitReport& report, TimePoint now);

  /// Sets this host's place among the senders. A host that becomes a sender
  /// starts without a token, since its predecessor may have used one just now.
  void SetRank(const LimitRank& rank, TimePoint now);

  [[nodiscard]] bool is_named() const { return is_named_; }
  /// @return requests/s over all hosts; 0 if no limit is named.
  [[nodiscard]] double rate() const { return rate_; }

  /// @return whether this host may send a request to the server.
  [[nodiscard]] bool CanSend(TimePoint now) const;
  /// Takes what a request needs that is about to be sent.
  /// @return false if the request must not be sent.
  [[nodiscard]] bool TrySend(TimePoint now);
  /// @return requests/s that this host may send; 0 if it is not a sender.
  [[nodiscard]] double own_rate() const;
  /// @return the time until this host may send; maximum if it is not a sender.
  [[nodiscard]] Duration TimeUntilSend(TimePoint now) const;

  /// @return whether this host tells all others about the limit.
  [[nodiscard]] bool IsReporter(TimePoint now) const;
  /// @return whether an answer to this host has just changed the limit, so that
  ///     the reporters should be told.
  [[nodiscard]] bool IsNews(TimePoint now) const;
  /// @return the limit, or nothing if it ended; without the server's identity.
  [[nodiscard]] LimitReport Report(TimePoint now) const;

  /// Number of hosts that report a limit to all others: the first of the
  /// ranking, so that one of them may be down.
  static constexpr std::size_t kReporters = 2;

 private:
  [[nodiscard]] LimitChange Set(std::optional<double> rate, TimePoint heard_at);
  [[nodiscard]] std::size_t Senders() const;
  [[nodiscard]] bool IsSender() const;
  [[nodiscard]] bool IsProbeDue(TimePoint now) const;
  [[nodiscard]] double TokensAt(TimePoint now) const;
  void Refill(TimePoint now);

  bool is_named_ = false;
  double rate_ = 0.0;
  TimePoint heard_at_{};  ///< Time of the answer that was heard last.
  TimePoint news_at_{};   ///< Time of the last change by an answer.
  LimitRank rank_{};
  double tokens_ = 0.0;
  TimePoint updated_{};
  TimePoint probed_at_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_LIMIT_H_
