#include "comfreyvane/once/epoch_tracker.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/once/hex.h"
#include "comfreyvane/once/record_name.h"

namespace comfreyvane {
namespace {

/// Number of epochs, including the current one, that accept new records.
constexpr std::uint64_t kLiveEpochs = 2;
/// Number of past epochs to delete after each advance. More than one, because
/// an earlier deletion may not have been completed.
constexpr std::uint64_t kSweptEpochs = 2;
constexpr int kReadsPerEpoch = 4;

}  // namespace

EpochTracker::EpochTracker(ServiceId service,
                           std::string id_prefix,
                           StoreRecordLimits limits,
                           TimePoint now)
    : service_(service),
      id_prefix_(std::move(id_prefix)),
      limits_(limits),
      first_observed_at_(now),
      next_read_at_(now),
      retry_at_(now),
      backoff_(0) {}

void EpochTracker::Invalidate(TimePoint now) {
  is_stale_ = true;
  row_is_absent_ = false;
  next_read_at_ = now;
}

bool EpochTracker::OnOutcome(const TableOutcome& outcome, TimePoint now) {
  if (write_in_flight_ && write_ && outcome.transaction_id == write_->id) {
    write_in_flight_ = false;
    OnWritten(outcome, now);
    return true;
  }
  if (deletion_in_flight_ && !deletions_.empty() &&
      outcome.transaction_id == deletions_.front().id) {
    deletion_in_flight_ = false;
    const bool should_retry = outcome.status == TableStatus::kUnavailable ||
                              outcome.status == TableStatus::kUnknown;
    has_failed_ = has_failed_ || should_retry;
    if (!should_retry)
      deletions_.pop_front();
    return true;
  }
  return false;
}

void EpochTracker::OnWritten(const TableOutcome& outcome, TimePoint now) {
  switch (outcome.status) {
    case TableStatus::kDone:
      write_.reset();
      SetEpoch(next_epoch_, outcome.revision, now);
      for (std::uint64_t age = 0; age < kSweptEpochs; ++age) {
        if (epoch_ > kLiveEpochs + age)
          epochs_to_delete_.push_back(epoch_ - kLiveEpochs - age);
      }
      break;
    case TableStatus::kConflict:
      write_.reset();
      Invalidate(now);
      break;
    case TableStatus::kMalformed:
      write_.reset();
      Invalidate(now);
      has_failed_ = true;
      break;
    case TableStatus::kUnavailable:
    case TableStatus::kUnknown:
      has_failed_ = true;
      break;
  }
}

bool EpochTracker::OnReading(std::uint64_t read,
                             const TableReading& reading,
                             TimePoint now) {
  if (read_in_flight_ && read == epoch_read_id_) {
    read_in_flight_ = false;
    OnEpochRead(reading, now);
    return true;
  }
  if (scan_in_flight_ && read == scan_read_id_) {
    scan_in_flight_ = false;
    if (reading.status == TableStatus::kDone)
      QueueDeletion(reading);
    else
      has_failed_ = true;
    return true;
  }
  return false;
}

void EpochTracker::OnEpochRead(const TableReading& reading, TimePoint now) {
  if (reading.status != TableStatus::kDone) {
    has_failed_ = true;
    return;
  }
  const std::string key = EpochKey(service_);
  const auto row = std::find_if(
      reading.rows.begin(), reading.rows.end(), [&](const TableRow& found) {
        return found.key == key && found.revision != Revision();
      });
  if (row == reading.rows.end()) {
    row_is_absent_ = epoch_ == 0;
    has_failed_ = has_failed_ || !row_is_absent_;
    return;
  }
  const auto epoch = ParseHex(row->value);
  if (!epoch || *epoch == 0 || *epoch < epoch_) {
    has_failed_ = true;
    return;
  }
  SetEpoch(*epoch, row->revision, now);
}

void EpochTracker::SetEpoch(std::uint64_t epoch,
                            Revision row_revision,
                            TimePoint now) {
  if (epoch != epoch_)
    first_observed_at_ = now;
  epoch_ = epoch;
  row_revision_ = row_revision;
  is_stale_ = false;
  row_is_absent_ = false;
  backoff_ = Duration(0);
  next_read_at_ = now + limits_.epoch_length / kReadsPerEpoch;
}

void EpochTracker::QueueDeletion(const TableReading& reading) {
  if (reading.rows.empty()) {
    epochs_to_delete_.pop_front();
    return;
  }
  TableTransaction batch{NextId(), {}, {}};
  for (const TableRow& row : reading.rows) {
    batch.writes.push_back({row.key, std::nullopt});
    if (batch.writes.size() < limits_.delete_batch)
      continue;
    deletions_.push_back(std::exchange(batch, {NextId(), {}, {}}));
  }
  if (!batch.writes.empty())
    deletions_.push_back(std::move(batch));
}

void EpochTracker::AppendActions(RandomSource& random,
                                 std::vector<StoreRecordAction>& actions,
                                 TimePoint now) {
  if (has_failed_)
    ScheduleRetry(random, now);
  if (now < retry_at_ || read_in_flight_ || write_in_flight_)
    return;
  if (!write_)
    PlanWrite(now);
  if (write_) {
    write_in_flight_ = true;
    actions.emplace_back(CommitTransaction{*write_});
    return;
  }
  if (is_stale_ || now >= next_read_at_) {
    read_in_flight_ = true;
    epoch_read_id_ = next_read_id_++;
    actions.emplace_back(ReadRecords{epoch_read_id_, {EpochKey(service_)}});
    return;
  }
  Sweep(actions);
}

void EpochTracker::PlanWrite(TimePoint now) {
  const bool epoch_is_over =
      is_current() && now - first_observed_at_ >= limits_.epoch_length;
  if (!row_is_absent_ && !epoch_is_over)
    return;
  next_epoch_ = epoch_ + 1;
  const std::string key = EpochKey(service_);
  std::string value;
  AppendHex(value, next_epoch_);
  write_ = TableTransaction{.id = NextId(),
                            .conditions = {{key, row_revision_}},
                            .writes = {{key, value}}};
}

void EpochTracker::Sweep(std::vector<StoreRecordAction>& actions) {
  if (deletion_in_flight_ || scan_in_flight_)
    return;
  if (!deletions_.empty()) {
    deletion_in_flight_ = true;
    actions.emplace_back(CommitTransaction{deletions_.front()});
    return;
  }
  if (epochs_to_delete_.empty())
    return;
  scan_in_flight_ = true;
  scan_read_id_ = next_read_id_++;
  actions.emplace_back(ScanRecords{
      scan_read_id_, EpochPrefix(service_, epochs_to_delete_.front())});
}

void EpochTracker::ScheduleRetry(RandomSource& random, TimePoint now) {
  has_failed_ = false;
  const Duration doubled = std::max(2 * backoff_, limits_.initial_backoff);
  backoff_ = std::min(doubled, limits_.max_backoff);
  const double jitter = 0.5 + 0.5 * random.Uniform();
  retry_at_ = now + Duration(static_cast<Duration::rep>(
                        static_cast<double>(backoff_.count()) * jitter));
}

TimePoint EpochTracker::next_due() const {
  if (read_in_flight_ || write_in_flight_)
    return TimePoint::max();
  const bool has_deletions = !deletions_.empty() || !epochs_to_delete_.empty();
  const bool is_due_now =
      is_stale_ || write_ ||
      (has_deletions && !deletion_in_flight_ && !scan_in_flight_);
  const TimePoint due =
      is_due_now
          ? retry_at_
          : std::min(next_read_at_, first_observed_at_ + limits_.epoch_length);
  return std::max(due, retry_at_);
}

std::string EpochTracker::NextId() {
  std::string id = id_prefix_;
  AppendHex(id, next_transaction_++);
  return id;
}

}  // namespace comfreyvane
