/// @file
/// Names of the header fields that are the system's own.
#ifndef COMFREYVANE_NET_HEADER_NAMES_H_
#define COMFREYVANE_NET_HEADER_NAMES_H_

#include <string_view>

namespace comfreyvane {

/// All fields of the system start so. From callers only those below pass, and
/// none of them reaches a backend server as the caller wrote it.
inline constexpr std::string_view kOwnFieldPrefix = "X-Comfreyvane-";

/// The workspace's key. Callers send it; backend servers never see it.
inline constexpr std::string_view kKeyField = "X-Comfreyvane-Key";

/// "yes" or "no": whether the request is idempotent. By default GET, HEAD and
/// OPTIONS are and all else is not.
inline constexpr std::string_view kIdempotentField = "X-Comfreyvane-Idempotent";

/// Milliseconds that the caller will wait. Passed on with what remains.
inline constexpr std::string_view kDeadlineField = "X-Comfreyvane-Deadline-Ms";

/// The ticket from the look-up that names a non-idempotent request.
inline constexpr std::string_view kTicketField = "X-Comfreyvane-Ticket";

/// The caller's own name for a non-idempotent request.
inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";

/// Identifier of this submission in logs; in answers and to backend servers.
inline constexpr std::string_view kRequestIdField = "X-Comfreyvane-Request-Id";

/// Name of the workspace; to backend servers.
inline constexpr std::string_view kWorkspaceField = "X-Comfreyvane-Workspace";

/// Name of the host that answers; in answers.
inline constexpr std::string_view kHostField = "X-Comfreyvane-Host";

/// Name of the backend server that answered; in answers.
inline constexpr std::string_view kBackendServerField =
    "X-Comfreyvane-Backend-Server";

/// Refusal reason; in answers that are refusals.
inline constexpr std::string_view kRefusedField = "X-Comfreyvane-Refused";

/// Whether the refused request has run: not-run, ran or unknown.
inline constexpr std::string_view kRunField = "X-Comfreyvane-Run";

/// "not-run" in a backend server's 503: it shed the work before running it.
inline constexpr std::string_view kShedField = "X-Comfreyvane-Shed";

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_HEADER_NAMES_H_
