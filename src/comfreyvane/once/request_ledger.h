/// @file
/// In-memory record of the requests that a host has begun.
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

/// In-memory record of the requests that this incarnation has begun, which
/// keeps a request from running twice. An entry is kept until its ticket
/// expires, and an expired ticket is refused, so removing an entry cannot allow
/// a second run. Bounded: when full, new requests are refused as not run.
class RequestLedger {
 public:
  /// @param capacity maximum number of entries.
  RequestLedger(TicketTerms terms, std::size_t capacity);

  /// Records a submission.
  /// @param request fingerprint of the submitted request.
  /// @return FirstSubmission if the request may proceed, else the answer to
  ///     send. Refusals: kOutcomeUnknown for an expired ticket or an unknown
  ///     outcome, kMalformedRequest for a ticket that was used for another
  ///     request, kRecordFull as not run.
  [[nodiscard]] LedgerAnswer Begin(const VerifiedTicket& ticket,
                                   RequestId request,
                                   TimePoint now);
  /// Claims the single run. Must be called immediately before the first byte is
  /// sent. May be called again after OnAttemptNotRun.
  /// @return false if the request must not be sent: it has not begun, is
  ///     claimed already, has finished, or its ticket has expired, for example
  ///     while the process was paused.
  [[nodiscard]] bool MarkDispatched(const VerifiedTicket& ticket,
                                    TimePoint now);
  /// Releases the claim after an attempt of which no byte can have reached a
  /// server, or that the server refused as not run.
  void OnAttemptNotRun(const VerifiedTicket& ticket);
  /// Finishes a begun request. If it did not run, its entry is removed and a
  /// resend may run. While the run is claimed, kNotRun is treated as kUnknown.
  void Finish(const VerifiedTicket& ticket, RunOutcome outcome, TimePoint now);
  /// Removes expired entries.
  void Expire(TimePoint now);

  /// @return whether MarkDispatched would claim the run.
  [[nodiscard]] bool MayDispatch(const VerifiedTicket& ticket,
                                 TimePoint now) const;
  /// @return the run state to report in a refusal of this ticket that is sent
  ///     before or instead of Begin.
  [[nodiscard]] RunState RunStateOf(const VerifiedTicket& ticket,
                                    TimePoint now) const;
  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  /// @return the number of entries that have begun and not finished.
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
