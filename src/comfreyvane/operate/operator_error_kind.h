/// @file
/// Kinds of failures of operators' requests.
#ifndef COMFREYVANE_OPERATE_OPERATOR_ERROR_KIND_H_
#define COMFREYVANE_OPERATE_OPERATOR_ERROR_KIND_H_

#include <cstddef>
#include <string_view>

namespace comfreyvane {

/// Why an operator's request failed.
enum class OperatorErrorKind {
  kMalformed,             ///< The body or the query cannot be read.
  kUnauthorized,          ///< No valid operator token.
  kNotFound,              ///< No such path or method.
  kInvalidConfiguration,  ///< It cannot be met; each reason is listed.
  kConflict,              ///< Another change was accepted since the base.
  kRequestIdReused,       ///< The request id belongs to another change.
  kNoConfiguration,       ///< None has been accepted yet.
  kUnknownKey,            ///< No key has this identifier.
  kUnknownHost,           ///< No host has this name.
  kUnknownBackendServer,  ///< No backend server has this name.
  kUnknownService,        ///< No service has this name.
  kUnknownRequest,        ///< No host heard remembers this request.
  kPlatformUnavailable,   ///< Nothing was accepted; try again.
  kPeersSilent,           ///< Nothing was accepted: a peer was not heard.
  kOutcomeUnknown,        ///< It may have been accepted; repeat it.
  kLeaving,               ///< The host is stopping; ask another one.
  kInternal,
};

/// Number of kinds.
inline constexpr std::size_t kOperatorErrorKindCount =
    static_cast<std::size_t>(OperatorErrorKind::kInternal) + 1;

/// @return the name in answers, such as "invalid-configuration".
[[nodiscard]] std::string_view Name(OperatorErrorKind kind);

/// @return the HTTP status that carries the kind.
[[nodiscard]] unsigned HttpStatus(OperatorErrorKind kind);

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_OPERATOR_ERROR_KIND_H_
