/// @file
/// Record of begun requests in a host's memory.
#ifndef COMFREYVANE_ONCE_REQUEST_LEDGER_H_
#define COMFREYVANE_ONCE_REQUEST_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/run_state.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/once/ledger_answer.h"
#include "comfreyvane/once/run_outcome.h"
#include "comfreyvane/once/ticket_terms.h"
#include "comfreyvane/once/verified_ticket.h"

namespace comfreyvane {

/// Record, in this incarnation's memory, of the requests that have begun. An
/// entry is kept until its ticket expires, and an expired ticket never begins,
/// so dropping an entry cannot allow a second run. Bounded: when full, new
/// requests are refused as not run.
class RequestLedger {
 public:
  /// @param capacity most entries.
  RequestLedger(TicketTerms terms, std::size_t capacity);

  /// Records a submission.
  /// @param request fingerprint of what is submitted.
  /// @return FirstSubmission if it may go on; otherwise what to answer.
  /// Refusals:
  ///     kOutcomeUnknown for an expired ticket or a lost outcome,
  ///     kMalformedRequest for a ticket that was used for another request,
  ///     kRecordFull as not run.
  [[nodiscard]] LedgerAnswer Begin(const VerifiedTicket& ticket,
                                   RequestId request,
                                   TimePoint now);
  /// Claims the only run, at the moment before the first byte is sent. Also
  /// claims a repeated attempt after OnAttemptNotRun.
  /// @return false if it must not be sent: not begun, claimed before, ended,
  ///     or expired meanwhile (the process may have been paused).
  [[nodiscard]] bool MarkDispatched(const VerifiedTicket& ticket,
                                    TimePoint now);
  /// Gives the claim back after an attempt of which no byte can have reached a
  /// server, or that the server refused as not run.
  void OnAttemptNotRun(const VerifiedTicket& ticket);
  /// Ends a begun request. Not run: its entry is released and a resend may run.
  /// Not run is taken as unknown while the run is claimed.
  void Finish(const VerifiedTicket& ticket, RunOutcome outcome, TimePoint now);
  /// Drops expired entries.
  void Expire(TimePoint now);

  /// @return whether MarkDispatched would claim the run.
  [[nodiscard]] bool MayDispatch(const VerifiedTicket& ticket,
                                 TimePoint now) const;
  /// @return what a refusal of this ticket may claim now, for refusals given
  ///     before or instead of Begin.
  [[nodiscard]] RunState RunStateOf(const VerifiedTicket& ticket,
                                    TimePoint now) const;
  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  /// @return entries whose run has not ended.
  [[nodiscard]] std::size_t unfinished() const { return unfinished_; }

 private:
  enum class Phase : std::uint8_t { kBegun, kDispatched, kRan, kUnknown };
  struct Entry {
    RequestId request;
    Phase phase = Phase::kBegun;
    std::uint16_t status = 0;
  };
  struct EpochEntries {
    std::uint64_t epoch = 0;
    std::unordered_map<std::uint64_t, Entry> entries;  ///< By serial.
  };

  [[nodiscard]] Entry* Find(const VerifiedTicket& ticket);
  [[nodiscard]] const Entry* Find(const VerifiedTicket& ticket) const;
  void Add(const VerifiedTicket& ticket, RequestId request);
  void Erase(const VerifiedTicket& ticket);
  [[nodiscard]] static bool IsUnfinished(const Entry& entry);
  [[nodiscard]] static LedgerAnswer AnswerFor(const Entry& entry);

  TicketTerms terms_;
  std::size_t capacity_;
  std::deque<EpochEntries> epochs_;  ///< Oldest first.
  std::size_t size_ = 0;
  std::size_t unfinished_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_REQUEST_LEDGER_H_
