/// @file
/// Records of non-idempotent requests in this host's memory.
#ifndef COMFREYVANE_HOST_HOST_RECORDS_H_
#define COMFREYVANE_HOST_HOST_RECORDS_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "comfreyvane/host/ticket_hmac.h"
#include "comfreyvane/once/request_ledger.h"
#include "comfreyvane/once/run_outcome.h"
#include "comfreyvane/once/ticket_issuer.h"

namespace comfreyvane {

/// Tickets and ledgers of OncePolicy::kHostRecord, in shards by the ticket's
/// serial, each under its own lock. Safe for use by all threads.
class HostRecords {
 public:
  /// A submission that may go on, or what to answer instead.
  struct Begun {
    VerifiedTicket ticket;
    LedgerAnswer answer;
  };

  explicit HostRecords(const TicketTerms& terms);

  [[nodiscard]] std::string IssueTicket(TimePoint now);

  /// Records a submission under the ticket's text.
  /// @param request fingerprint of the submission.
  [[nodiscard]] std::variant<Begun, Refusal> Begin(std::string_view ticket,
                                                   RequestId request,
                                                   TimePoint now);

  /// See RequestLedger.
  [[nodiscard]] bool MarkDispatched(const VerifiedTicket& ticket,
                                    TimePoint now);
  void OnAttemptNotRun(const VerifiedTicket& ticket);
  void Finish(const VerifiedTicket& ticket, RunOutcome end, TimePoint now);
  [[nodiscard]] RunState RunStateOf(const VerifiedTicket& ticket,
                                    TimePoint now);

  /// @return what a refusal may claim of the request named by the ticket's
  /// text; unknown if the ticket is not of this incarnation.
  [[nodiscard]] RunState RunStateOf(std::string_view ticket, TimePoint now);

  /// Drops expired records.
  void Expire(TimePoint now);
  [[nodiscard]] std::size_t size();

 private:
  using Issuer = BasicTicketIssuer<TicketHmac>;

  struct Shard {
    Shard(const TicketTerms& terms,
          const TicketHmac& signer,
          std::uint64_t index);

    std::mutex mutex;
    Issuer issuer;
    RequestLedger ledger;
  };

  [[nodiscard]] Shard& ShardOf(std::uint64_t serial) {
    return *shards_[serial % shards_.size()];
  }

  std::vector<std::unique_ptr<Shard>> shards_;
  std::atomic<std::uint64_t> next_shard_{0};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_HOST_RECORDS_H_
