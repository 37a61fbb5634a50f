#include "comfreyvane/config/configuration_error.h"

#include <array>
#include <cassert>
#include <ostream>

namespace comfreyvane {
namespace {

using Kind = ConfigurationErrorKind;

struct KindRow {
  Kind kind;
  std::string_view name;
};

constexpr std::array<KindRow, 22> kRows{{
    {Kind::kEmpty, "empty"},
    {Kind::kMalformedName, "malformed-name"},
    {Kind::kDuplicateName, "duplicate-name"},
    {Kind::kIdCollision, "id-collision"},
    {Kind::kUnknownRegion, "unknown-region"},
    {Kind::kUnknownFailureDomain, "unknown-failure-domain"},
    {Kind::kUnknownSite, "unknown-site"},
    {Kind::kUnknownService, "unknown-service"},
    {Kind::kLinkToItself, "link-to-itself"},
    {Kind::kDuplicateLink, "duplicate-link"},
    {Kind::kZero, "zero"},
    {Kind::kOverWhole, "over-whole"},
    {Kind::kSharesDoNotAddUp, "shares-do-not-add-up"},
    {Kind::kDuplicateShare, "duplicate-share"},
    {Kind::kSharedSiteWithoutServer, "shared-site-without-server"},
    {Kind::kCapacityExceeded, "capacity-exceeded"},
    {Kind::kMalformedPathPrefix, "malformed-path-prefix"},
    {Kind::kDuplicatePathPrefix, "duplicate-path-prefix"},
    {Kind::kNotAnIpAddress, "not-an-ip-address"},
    {Kind::kDuplicateEndpoint, "duplicate-endpoint"},
    {Kind::kMalformedKeyHash, "malformed-key-hash"},
    {Kind::kDuplicateKeyHash, "duplicate-key-hash"},
}};

}  // namespace

std::string_view Name(ConfigurationErrorKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  assert(index < kRows.size());
  assert(kRows[index].kind == kind);
  return kRows[index].name;
}

std::ostream& operator<<(std::ostream& out, const ConfigurationError& error) {
  out << error.object << ": ";
  if (!error.member.empty())
    out << error.member << ": ";
  if (!error.value.empty())
    out << error.value << ": ";
  out << Name(error.kind);
  if (error.limit != 0)
    out << " (limit " << error.limit << ')';
  return out;
}

}  // namespace comfreyvane
