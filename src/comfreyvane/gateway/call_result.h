/// @file
/// How an attempt at a backend server ended.
#ifndef COMFREYVANE_GATEWAY_CALL_RESULT_H_
#define COMFREYVANE_GATEWAY_CALL_RESULT_H_

#include <memory>
#include <optional>
#include <string>

#include "comfreyvane/base/refusal_reason.h"
#include "comfreyvane/base/run_state.h"
#include "comfreyvane/edge/named_limit.h"
#include "comfreyvane/net/backend_connection.h"
#include "comfreyvane/route/load_report.h"
#include "comfreyvane/route/request_outcome.h"

namespace comfreyvane {

/// How an attempt at a backend server ended.
struct CallResult {
  /// Head of the answer, if one was received. `body` holds the start of its
  /// body; unless `complete` is set, the rest must be read from `connection`.
  std::optional<boost::beast::http::response_header<>> head;
  std::string body;
  bool complete = false;
  std::unique_ptr<BackendConnection> connection;

  /// If there is no answer: the reason, and whether the request may have run.
  RefusalReason reason = RefusalReason::kBackendConnectFailed;
  RunState run_state = RunState::kNotRun;
  RequestOutcome outcome = RequestOutcome::kConnectFailed;
  bool caller_gone = false;           ///< The caller closed its connection.
  bool used_open_connection = false;  ///< No new connection was needed.
  bool closed_mid_request =
      false;  ///< The server closed after it got the request.
  /// Attempts that a carrier has made, and its advice to the caller.
  std::uint32_t carrier_attempts = 0;
  Duration retry_after{};
  std::optional<LoadReport> load;
  /// Limit that the server names; nothing without an answer of this server.
  std::optional<NamedLimit> limit;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_CALL_RESULT_H_
