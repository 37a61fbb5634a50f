/// @file
/// A site at a hosting provider.
#ifndef COMFREYVANE_CONFIG_SITE_H_
#define COMFREYVANE_CONFIG_SITE_H_

#include <cstdint>
#include <string>

namespace comfreyvane {

/// A group of backend servers at one provider in one failure domain.
struct Site {
  std::string name;
  std::string failure_domain;
  std::string provider;
  std::uint32_t capacity = 0;  ///< Requests a second.

  friend bool operator==(const Site&, const Site&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_SITE_H_
