/// @file
/// Record of begun requests in the table service.
#ifndef COMFREYVANE_ONCE_STORE_RECORD_CORE_H_
#define COMFREYVANE_ONCE_STORE_RECORD_CORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/random_source.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/once/epoch_tracker.h"
#include "comfreyvane/once/record_name.h"
#include "comfreyvane/once/run_outcome.h"
#include "comfreyvane/once/store_record.h"
#include "comfreyvane/once/store_record_action.h"
#include "comfreyvane/once/store_record_limits.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_reading.h"

namespace comfreyvane {

/// Keeps the requests of one service from running twice by a row in the table
/// service, inserted if absent before the dispatch. Nobody takes a row over: a
/// request whose owner is gone has an unknown outcome.
///
/// Each insert has the epoch row as a condition. Rows of an epoch are deleted
/// once the epoch has advanced by two, when no insert of it can succeed.
///
/// A refusal claims "not run" only while this submission owns the row and has
/// not been dispatched: otherwise the request may have run at another host.
class StoreRecordCore {
 public:
  /// @param seed of the jitter.
  StoreRecordCore(ServiceId service,
                  HostId self,
                  Incarnation incarnation,
                  StoreRecordLimits limits,
                  std::uint64_t seed,
                  TimePoint now);

  /// @return a name for one request, or nothing while the epoch is not known.
  [[nodiscard]] std::optional<RecordName> IssueName(WorkspaceId workspace);

  /// Takes a submission. Its answer comes as an AnswerSubmission:
  /// FirstSubmission, AlreadyRan, InProgress or a Refusal (kRecordUnavailable
  /// at the deadline, kRecordFull, kOutcomeUnknown, kMalformedRequest).
  void Begin(const RecordName& name,
             RequestId request,
             TimePoint deadline,
             TimePoint now);
  /// Claims the only run, at the moment before the first byte is sent.
  /// @return false if it must not be sent.
  [[nodiscard]] bool MarkDispatched(const RecordName& name, TimePoint now);
  /// Gives the claim back after an attempt that cannot have run.
  void OnAttemptNotRun(const RecordName& name);
  /// Ends a submission that was answered FirstSubmission. Not run: the row is
  /// deleted so that a resend may run. Not run is taken as unknown while
  /// claimed.
  void Finish(const RecordName& name, RunOutcome outcome, TimePoint now);

  void OnOutcome(const TableOutcome& outcome, TimePoint now);
  void OnReading(std::uint64_t read,
                 const TableReading& reading,
                 TimePoint now);
  /// Repeats what is due and refuses what is past its deadline.
  void OnTick(TimePoint now);
  /// @return what to do, each action once.
  [[nodiscard]] std::vector<StoreRecordAction> TakeActions();

  /// @return whether MarkDispatched would claim the run.
  [[nodiscard]] bool MayDispatch(const RecordName& name, TimePoint now) const;
  /// @return what a refusal of this name may claim now.
  [[nodiscard]] RunState RunStateOf(const RecordName& name) const;
  /// @return when OnTick is to be called next; later than its last call.
  [[nodiscard]] TimePoint NextDue() const;
  /// @return submissions that wait for the table service.
  [[nodiscard]] std::size_t waiting() const;
  /// @return submissions that own their row and have not ended.
  [[nodiscard]] std::size_t recorded() const;
  /// @return ends that are not written yet.
  [[nodiscard]] std::size_t pending_writes() const {
    return pending_writes_.size();
  }
  /// @return whether the last call to the table service failed.
  [[nodiscard]] bool is_store_down() const { return is_store_down_; }
  /// @return present epoch, zero: not known.
  [[nodiscard]] std::uint64_t epoch() const { return epochs_.epoch(); }

 private:
  enum class Phase : std::uint8_t {
    kWaiting,     ///< For the epoch, or to repeat.
    kWriting,     ///< The insert is on its way.
    kRecorded,    ///< The row is this submission's.
    kDispatched,  ///< The run is claimed.
  };
  struct Submission {
    StoreRecord record;
    Phase phase = Phase::kWaiting;
    TimePoint deadline{};
    TimePoint retry_at{};
    Duration backoff{0};
    Revision row{};                            ///< Of the row, once recorded.
    std::optional<TableTransaction> insert{};  ///< To be repeated as it is.
    bool is_blocked =
        false;  ///< Waits for an outcome or reading, not for time.
    bool may_have_been_inserted =
        false;  ///< A try of the insert got no answer.
  };
  /// A write that follows the end of a submission.
  struct PendingWrite {
    TableTransaction write;
    TimePoint retry_at{};
    Duration backoff{0};
    bool in_flight = false;
    /// The write is the insert of a refused submission: its row is deleted
    /// once it is known to stand.
    std::optional<StoreRecord> refused_record{};
  };

  using Submissions = std::map<RecordName, Submission>;

  void TryInsert(const RecordName& name, TimePoint now);
  void SendInsert(const RecordName& name, Submission& submission);
  void OnInsertOutcome(Submissions::iterator found,
                       const TableOutcome& outcome,
                       TimePoint now);
  void OnInsertConflict(Submissions::iterator found,
                        const TableOutcome& outcome,
                        TimePoint now);
  void OnPendingWriteOutcome(const std::string& id,
                             const TableOutcome& outcome,
                             TimePoint now);
  void RetryDueInserts(TimePoint now);
  void RetryPendingWrites(TimePoint now);
  void RefuseOverdue(TimePoint now);
  void ScheduleActions(TimePoint now);
  void Answer(const RecordName& name, LedgerAnswer answer);
  void AnswerAndErase(Submissions::iterator found,
                      LedgerAnswer answer,
                      TimePoint now);
  void OnRecorded(Submissions::iterator found, Revision row, TimePoint now);
  void DeleteRow(const std::string& key, Revision row, TimePoint now);
  void AddPendingWrite(PendingWrite pending, TimePoint now);
  void UpdateStoreStatus(TableStatus status);
  [[nodiscard]] std::size_t MaxCallsInFlight() const;
  [[nodiscard]] std::size_t WritesInFlight() const;
  [[nodiscard]] TimePoint NextRetry(Duration& backoff, TimePoint now);
  [[nodiscard]] std::string NextTransactionId();

  ServiceId service_;
  HostId self_;
  Incarnation incarnation_;
  StoreRecordLimits limits_;
  RandomSource random_;
  EpochTracker epochs_;
  std::uint64_t next_serial_ = 1;
  std::uint64_t next_transaction_ = 1;
  Submissions submissions_;
  std::unordered_map<std::string, RecordName> inserts_in_flight_;
  std::map<std::string, PendingWrite> pending_writes_;
  std::vector<StoreRecordAction> actions_;
  bool is_store_down_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_STORE_RECORD_CORE_H_
