/// @file
/// Checks that a request passes before it may run.
#ifndef COMFREYVANE_HOST_REQUEST_GATE_H_
#define COMFREYVANE_HOST_REQUEST_GATE_H_

#include <boost/asio/io_context.hpp>
#include <optional>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/host/host_context.h"
#include "comfreyvane/host/request_run.h"
#include "comfreyvane/net/async.h"

namespace comfreyvane {

/// The checks from a request's head to its permission to run, each a step.
/// Used by one thread.
class RequestGate {
 public:
  RequestGate(HostContext& context, asio::io_context& io);

  /// Finds route, key and deadline.
  /// @param run with its id, start and terms set.
  /// @return why the request is refused, if it is.
  [[nodiscard]] std::optional<Refusal> Identify(RequestRun& run);

  /// Checks that the keys in force can be trusted, also at the dispatch.
  [[nodiscard]] std::optional<Refusal> CheckFreshness(const RequestRun& run,
                                                      TimePoint now);

  /// Takes a token of the workspace.
  [[nodiscard]] std::optional<Refusal> TakeToken(const RequestRun& run,
                                                 TimePoint now);

  /// Records a non-idempotent request, once its fingerprint is known.
  /// @return why it does not run, if so; otherwise run.claim is set.
  [[nodiscard]] asio::awaitable<std::optional<Refusal>> Record(RequestRun& run);

  /// Claims the run of a recorded request, at the moment of dispatch.
  [[nodiscard]] std::optional<Refusal> ClaimRun(const RequestRun& run,
                                                TimePoint now);

  /// Gives the claim back after an attempt that cannot have run.
  void ReturnRun(const RequestRun& run);

  /// Ends a recorded request.
  void EndRecord(const RequestRun& run, RunOutcome end, TimePoint now);

  /// @return the refusal, with a run state that is true of the request under
  /// its ticket, whichever submission of it may have run.
  [[nodiscard]] Refusal Truthful(const RequestRun& run,
                                 Refusal refusal,
                                 TimePoint now);

 private:
  [[nodiscard]] RunState RunStateOf(const RequestRun& run, TimePoint now);
  [[nodiscard]] std::optional<Refusal> IdentifyKey(RequestRun& run);
  [[nodiscard]] asio::awaitable<std::optional<Refusal>> RecordInStore(
      RequestRun& run);
  [[nodiscard]] std::optional<Refusal> RecordHere(RequestRun& run);

  HostContext& context_;
  asio::io_context& io_;
  ActiveConfiguration::Reader configuration_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_REQUEST_GATE_H_
