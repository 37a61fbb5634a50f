#include "comfreyvane/operate/operator_error_kind.h"

#include <array>
#include <cassert>

namespace comfreyvane {
namespace {

using Kind = OperatorErrorKind;

struct KindRow {
  Kind kind;
  std::string_view name;
  unsigned status;
};

constexpr std::array<KindRow, kOperatorErrorKindCount> kRows{{
    {Kind::kMalformed, "malformed", 400},
    {Kind::kUnauthorized, "unauthorized", 401},
    {Kind::kNotFound, "not-found", 404},
    {Kind::kInvalidConfiguration, "invalid-configuration", 422},
    {Kind::kConflict, "conflict", 409},
    {Kind::kRequestIdReused, "request-id-reused", 409},
    {Kind::kNoConfiguration, "no-configuration", 404},
    {Kind::kUnknownKey, "unknown-key", 404},
    {Kind::kUnknownHost, "unknown-host", 404},
    {Kind::kUnknownBackendServer, "unknown-backend-server", 404},
    {Kind::kUnknownService, "unknown-service", 404},
    {Kind::kUnknownRequest, "unknown-request", 404},
    {Kind::kPlatformUnavailable, "platform-unavailable", 503},
    {Kind::kPeersSilent, "peers-silent", 503},
    {Kind::kOutcomeUnknown, "outcome-unknown", 504},
    {Kind::kLeaving, "leaving", 503},
    {Kind::kInternal, "internal", 500},
}};

const KindRow& Row(Kind kind) {
  const auto index = static_cast<std::size_t>(kind);
  assert(index < kRows.size());
  assert(kRows[index].kind == kind);
  return kRows[index];
}

}  // namespace

std::string_view Name(OperatorErrorKind kind) {
  return Row(kind).name;
}

unsigned HttpStatus(OperatorErrorKind kind) {
  return Row(kind).status;
}

}  // namespace comfreyvane
