/// @file
/// How an attempt at a backend server ended.
#ifndef COMFREYVANE_GATEWAY_CALL_RESULT_H_
#define COMFREYVANE_GATEWAY_CALL_RESULT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "comfreyvane/base/refusal_reason.h"
#include "comfreyvane/base/run_state.h"
#include "comfreyvane/edge/server_notice.h"
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
  bool caller_gone = false;  ///< The caller closed its connection.
  /// Not sent: the server or the configuration has changed since the choice.
  bool was_withdrawn = false;
  bool used_open_connection = false;  ///< No new connection was needed.
  bool closed_mid_request =
      false;  ///< The server closed after it got the request.
  /// Attempts that a carrier has made, and its advice to the caller.
  std::uint32_t carrier_attempts = 0;
  Duration retry_after{};
  std::optional<LoadReport> load;
  /// What the server says about the requests that it takes; nothing without an
  /// answer of this server.
  std::optional<ServerNotice> notice;
  /// Unix time of the start of the server that got the request, milliseconds.
  std::int64_t server_started_ms = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_CALL_RESULT_H_
