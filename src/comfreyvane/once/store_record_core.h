/// @file
/// Record of the requests of one service in the table service.
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

/// Keeps the requests of one service from running twice by means of a row in
/// the table service, which is inserted before the dispatch and only if it does
/// not exist. No host takes a row over: the outcome of a request whose owner
/// has failed is unknown.
///
/// Each insert is conditional on the revision of the epoch row. The rows of an
/// epoch are deleted after the epoch has advanced by two, when inserts for that
/// epoch can no longer succeed.
///
/// A refusal reports kNotRun only while this submission owns the row and has
/// not been dispatched. In every other state the request may have run on
/// another host.
class StoreRecordCore {
 public:
  /// @param seed for the jitter of the backoff.
  StoreRecordCore(ServiceId service,
                  HostId self,
                  Incarnation incarnation,
                  StoreRecordLimits limits,
                  std::uint64_t seed,
                  TimePoint now);

  /// @return a name for one request, or nullopt while the epoch is not known.
  [[nodiscard]] std::optional<RecordName> IssueName(WorkspaceId workspace);

  /// Starts a submission. It is answered by an AnswerSubmission action:
  /// FirstSubmission, AlreadyRan, InProgress or a Refusal (kRecordUnavailable
  /// at the deadline, kRecordFull, kOutcomeUnknown, kMalformedRequest).
  void Begin(const RecordName& name,
             RequestId request,
             TimePoint deadline,
             TimePoint now);
  /// Claims the single run. Must be called immediately before the first byte is
  /// sent.
  /// @return false if the request must not be sent.
  [[nodiscard]] bool MarkDispatched(const RecordName& name, TimePoint now);
  /// Releases the claim after an attempt that cannot have run.
  void OnAttemptNotRun(const RecordName& name);
  /// Finishes a submission that was answered with FirstSubmission. If it did
  /// not run, the row is deleted so that a resend may run. While the run is
  /// claimed, kNotRun is treated as kUnknown.
  void Finish(const RecordName& name, RunOutcome outcome, TimePoint now);

  void OnOutcome(const TableOutcome& outcome, TimePoint now);
  void OnReading(std::uint64_t read,
                 const TableReading& reading,
                 TimePoint now);
  /// Retries the calls that are due and refuses submissions past their
  /// deadline.
  void OnTick(TimePoint now);
  /// @return the actions since the last call, and clears them.
  [[nodiscard]] std::vector<StoreRecordAction> TakeActions();

  /// @return whether MarkDispatched would claim the run.
  [[nodiscard]] bool MayDispatch(const RecordName& name, TimePoint now) const;
  /// @return the run state to report in a refusal of this name.
  [[nodiscard]] RunState RunStateOf(const RecordName& name) const;
  /// @return when OnTick must be called next; later than its last call.
  [[nodiscard]] TimePoint NextDue() const;
  /// @return the number of submissions that wait for the table service.
  [[nodiscard]] std::size_t waiting() const;
  /// @return the number of submissions that own their row and have not
  /// finished.
  [[nodiscard]] std::size_t recorded() const;
  /// @return the number of writes for finished submissions that are not done.
  [[nodiscard]] std::size_t pending_writes() const {
    return pending_writes_.size();
  }
  /// @return whether the last call to the table service failed.
  [[nodiscard]] bool is_store_down() const { return is_store_down_; }
  /// @return the current epoch; zero: not known.
  [[nodiscard]] std::uint64_t epoch() const { return epochs_.epoch(); }

 private:
  enum class Phase : std::uint8_t {
    kWaiting,     ///< For the epoch, or for the next try.
    kWriting,     ///< The insert is in flight.
    kRecorded,    ///< This submission owns the row.
    kDispatched,  ///< The run is claimed.
  };
  struct Submission {
    StoreRecord record;
    Phase phase = Phase::kWaiting;
    TimePoint deadline{};
    TimePoint retry_at{};
    Duration backoff{0};
    Revision row{};                            ///< Of the row, once recorded.
    std::optional<TableTransaction> insert{};  ///< Retried unchanged.
    /// Waits for an outcome or a reading, not for `retry_at`.
    bool is_blocked = false;
    /// A try of the insert had an unknown outcome.
    bool may_have_been_inserted = false;
  };
  /// A write after the end of a submission.
  struct PendingWrite {
    TableTransaction write;
    TimePoint retry_at{};
    Duration backoff{0};
    bool in_flight = false;
    /// Set if the write is the insert of a refused submission. Its row is
    /// deleted once the insert is known to have succeeded.
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
