/// @file
/// Accepts operators' changes by compare-and-set.
#ifndef COMFREYVANE_SPREAD_ACCEPT_CORE_H_
#define COMFREYVANE_SPREAD_ACCEPT_CORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/spread/accept_action.h"
#include "comfreyvane/spread/accept_settings.h"
#include "comfreyvane/spread/acceptor_set.h"
#include "comfreyvane/spread/configuration_document.h"
#include "comfreyvane/spread/head_row.h"
#include "comfreyvane/spread/operator_request.h"
#include "comfreyvane/spread/request_log.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_reading.h"

namespace comfreyvane {

/// Accepts operators' changes by compare-and-set on the head row, one at a
/// time. The transaction also holds only while the acceptors' row stands as
/// AcceptorCore knows it. Without I/O; not thread safe.
class AcceptCore {
 public:
  /// @param self this host and its incarnation.
  AcceptCore(Acceptor self, AcceptSettings settings);

  /// Takes a change. Only at an acceptor; other hosts pass it on to one.
  /// @param current the newest document known here, the base of the delta.
  [[nodiscard]] AcceptActions OnApply(const OperatorRequest& request,
                                      const ConfigurationDocument& current,
                                      TimePoint now);

  /// Takes the result of a ReadRows.
  [[nodiscard]] AcceptActions OnRead(std::uint64_t number,
                                     const TableReading& reading,
                                     TimePoint now);

  /// Takes the outcome of a CommitRows.
  [[nodiscard]] AcceptActions OnOutcome(const TableOutcome& outcome,
                                        TimePoint now);

  /// Repeats what has not been answered. To be called every 50 ms or so.
  [[nodiscard]] AcceptActions OnTick(TimePoint now);

  /// @return whether a change is under way or of unknown outcome.
  [[nodiscard]] bool pending() const { return pending_.has_value(); }

  /// @return the keys that the change under way withdraws.
  [[nodiscard]] std::vector<KeyId> pending_keys() const;

  /// @return the newest revision that this core has seen committed.
  [[nodiscard]] Revision committed() const { return committed_; }

 private:
  enum class Stage { kReading, kCommitting };

  struct Pending {
    Pending(OperatorRequest asked, ConfigurationDocument base, TimePoint now)
        : request(std::move(asked)), current(std::move(base)), started(now) {}

    OperatorRequest request;
    ConfigurationDocument current;
    TimePoint started;
    Stage stage = Stage::kReading;
    std::uint64_t read_number = 0;
    TableTransaction transaction;
    ConfigurationDelta delta;
    bool uncertain = false;   ///< An answer was lost; it may be committed.
    bool conflicted = false;  ///< A transaction failed a condition.
    bool told_unknown = false;
    std::optional<TimePoint> repeat_at;
  };

  struct Rows {
    TableRow head;
    TableRow requests;
    TableRow acceptors;
  };

  void StartRead(AcceptActions& actions);
  void Classify(const Rows& rows, AcceptActions& actions);
  void Commit(const Rows& rows, const RequestLog& log, AcceptActions& actions);
  [[nodiscard]] TableTransaction TransactionFor(const Rows& rows,
                                                const RequestLog& log);
  void Finish(ApplyStatus status, Revision revision, AcceptActions& actions);

  Acceptor self_;
  AcceptSettings settings_;
  std::optional<Pending> pending_;
  Revision committed_;
  std::uint64_t next_number_ = 1;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_ACCEPT_CORE_H_
