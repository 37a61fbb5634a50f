/// @file
/// Records of non-idempotent requests in the table service.
#ifndef COMFREYVANE_HOST_STORE_RECORDS_H_
#define COMFREYVANE_HOST_STORE_RECORDS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "comfreyvane/net/async.h"
#include "comfreyvane/once/store_record_core.h"

namespace comfreyvane {

/// The StoreRecordCore of each service under one lock, with the requests that
/// wait for an answer. Safe for use by all threads.
class StoreRecords {
 public:
  /// Carries out actions of a service's core. Called from any thread, without
  /// the lock held. AnswerSubmission is never among them.
  using Sink = std::function<void(ServiceId, std::vector<StoreRecordAction>)>;

  StoreRecords(HostId self,
               Incarnation incarnation,
               std::uint64_t seed,
               Sink sink);

  /// Makes the core of a service if there is none.
  void Ensure(ServiceId service, TimePoint now);

  /// @return a name for one request, or nothing while the store's epoch is not
  /// known.
  [[nodiscard]] std::optional<std::string> IssueName(ServiceId service,
                                                     WorkspaceId workspace);

  /// Records a submission; ends by the deadline.
  /// @param io of the calling thread.
  [[nodiscard]] asio::awaitable<LedgerAnswer> Begin(asio::io_context& io,
                                                    ServiceId service,
                                                    RecordName name,
                                                    RequestId request,
                                                    TimePoint deadline,
                                                    TimePoint now);

  /// See StoreRecordCore.
  [[nodiscard]] bool MarkDispatched(ServiceId service,
                                    const RecordName& name,
                                    TimePoint now);
  void OnAttemptNotRun(ServiceId service, const RecordName& name);
  void Finish(ServiceId service,
              const RecordName& name,
              RunOutcome end,
              TimePoint now);
  [[nodiscard]] RunState RunStateOf(ServiceId service, const RecordName& name);

  void OnOutcome(ServiceId service, const TableOutcome& outcome, TimePoint now);
  void OnReading(ServiceId service,
                 std::uint64_t read,
                 const TableReading& reading,
                 TimePoint now);
  void OnTick(TimePoint now);

  /// @return submissions that wait for the table service.
  [[nodiscard]] std::size_t waiting() const;

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;
  struct Emission {
    ServiceId service;
    std::vector<StoreRecordAction> actions;
  };

  [[nodiscard]] StoreRecordCore* CoreOf(ServiceId service);
  [[nodiscard]] Emission Collect(ServiceId service, StoreRecordCore& core);
  void Answer(const AnswerSubmission& answer);
  void Emit(Emission emission);

  HostId self_;
  Incarnation incarnation_;
  std::uint64_t seed_;
  Sink sink_;
  mutable std::mutex mutex_;
  std::map<ServiceId, StoreRecordCore> cores_;
  std::multimap<RecordName, PendingPtr> pending_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_STORE_RECORDS_H_
