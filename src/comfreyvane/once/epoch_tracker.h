/// @file
/// The current epoch of a service's records.
#ifndef COMFREYVANE_ONCE_EPOCH_TRACKER_H_
#define COMFREYVANE_ONCE_EPOCH_TRACKER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/random_source.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/once/store_record_action.h"
#include "comfreyvane/once/store_record_limits.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_reading.h"

namespace comfreyvane {

/// Reads and advances the epoch row of one service, and deletes the records of
/// past epochs. A host advances the epoch by compare-and-set a whole epoch
/// length after it first observed it, so that the clocks of hosts are never
/// compared. Part of StoreRecordCore.
class EpochTracker {
 public:
  /// @param id_prefix prefix of this tracker's transaction ids.
  EpochTracker(ServiceId service,
               std::string id_prefix,
               StoreRecordLimits limits,
               TimePoint now);

  /// Schedules a read of the row as soon as possible.
  void Invalidate(TimePoint now);
  /// Both return whether the transaction or read was this tracker's.
  bool OnOutcome(const TableOutcome& outcome, TimePoint now);
  bool OnReading(std::uint64_t read,
                 const TableReading& reading,
                 TimePoint now);
  /// Appends the actions that are due now.
  void AppendActions(RandomSource& random,
                     std::vector<StoreRecordAction>& actions,
                     TimePoint now);

  /// @return the newest epoch observed; zero: not known.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  /// @return whether the epoch is known and has not been invalidated.
  [[nodiscard]] bool is_current() const { return epoch_ != 0 && !is_stale_; }
  [[nodiscard]] Revision row_revision() const { return row_revision_; }
  /// @return whether a record of the epoch may still be inserted.
  [[nodiscard]] bool Accepts(std::uint64_t epoch) const {
    return epoch_ != 0 && epoch <= epoch_ && epoch_ - epoch <= 1;
  }
  [[nodiscard]] TimePoint next_due() const;

 private:
  void SetEpoch(std::uint64_t epoch, Revision row_revision, TimePoint now);
  void ScheduleRetry(RandomSource& random, TimePoint now);
  void OnWritten(const TableOutcome& outcome, TimePoint now);
  void OnEpochRead(const TableReading& reading, TimePoint now);
  void QueueDeletion(const TableReading& reading);
  void PlanWrite(TimePoint now);
  void Sweep(std::vector<StoreRecordAction>& actions);
  [[nodiscard]] std::string NextId();

  ServiceId service_;
  std::string id_prefix_;
  StoreRecordLimits limits_;
  std::uint64_t epoch_ = 0;
  Revision row_revision_;
  bool is_stale_ = true;
  bool row_is_absent_ = false;  ///< The row was read and does not exist.
  bool read_in_flight_ = false;
  bool write_in_flight_ = false;
  bool has_failed_ = false;
  TimePoint first_observed_at_;
  TimePoint next_read_at_;
  TimePoint retry_at_;
  Duration backoff_;
  std::optional<TableTransaction> write_;  ///< Retried unchanged.
  std::uint64_t next_epoch_ = 0;
  std::deque<std::uint64_t> epochs_to_delete_;
  std::deque<TableTransaction> deletions_;
  bool deletion_in_flight_ = false;
  bool scan_in_flight_ = false;
  std::uint64_t epoch_read_id_ = 0;
  std::uint64_t scan_read_id_ = 0;
  std::uint64_t next_read_id_ = 1;
  std::uint64_t next_transaction_ = 1;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_EPOCH_TRACKER_H_
