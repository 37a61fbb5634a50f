/// @file
/// Kinds of faults of a configuration.
#ifndef COMFREYVANE_CONFIG_CONFIGURATION_ERROR_KIND_H_
#define COMFREYVANE_CONFIG_CONFIGURATION_ERROR_KIND_H_

#include <string_view>

namespace comfreyvane {

/// Why a configuration cannot be met.
enum class ConfigurationErrorKind {
  kEmpty,                    ///< No region, site, service or backend server.
  kMalformedName,            ///< Names have letters, digits, '.', '_' and '-'.
  kDuplicateName,            ///< Two objects of a kind share a name.
  kIdCollision,              ///< Two names of a kind share an identifier.
  kUnknownRegion,            ///< A region that is not declared.
  kUnknownFailureDomain,     ///< A failure domain that is not declared.
  kUnknownSite,              ///< A site that is not declared.
  kUnknownService,           ///< A service that is not declared.
  kLinkToItself,             ///< A link within one region.
  kDuplicateLink,            ///< Two links between the same regions.
  kZero,                     ///< A number that must not be zero.
  kOverWhole,                ///< A share or cap above kWholeShare.
  kSharesDoNotAddUp,         ///< Shares of a service are not kWholeShare.
  kDuplicateShare,           ///< A service has two shares at a site.
  kSharedSiteWithoutServer,  ///< A share at a site where no server can serve
                             ///< it.
  kCapacityExceeded,         ///< Sites' capacities are above their region's.
  kMalformedPathPrefix,      ///< Does not start with '/' or has odd characters.
  kDuplicatePathPrefix,      ///< Two services share a path prefix.
  kNotAnIpAddress,           ///< Or one that cannot be connected to.
  kDuplicateEndpoint,        ///< Two backend servers share address and port.
  kMalformedKeyHash,         ///< Not 64 lower-case hexadecimal digits.
  kDuplicateKeyHash,         ///< Two keys are the same.
};

/// @return the name in error lists, such as "unknown-site".
[[nodiscard]] std::string_view Name(ConfigurationErrorKind kind);

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_CONFIGURATION_ERROR_KIND_H_
