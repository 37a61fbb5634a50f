/// @file
/// Share of a service at a site.
#ifndef COMFREYVANE_CONFIG_SITE_SHARE_H_
#define COMFREYVANE_CONFIG_SITE_SHARE_H_

#include <cstdint>
#include <string>

namespace comfreyvane {

/// One hundred percent in parts of ten thousand.
inline constexpr std::uint32_t kWholeShare = 10000;

/// The part of a service's traffic that a site should take.
struct SiteShare {
  std::string site;
  std::uint32_t parts = 0;  ///< Of kWholeShare.

  friend bool operator==(const SiteShare&, const SiteShare&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_SITE_SHARE_H_
