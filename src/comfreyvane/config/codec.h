/// @file
/// Configurations as JSON text.
#ifndef COMFREYVANE_CONFIG_CODEC_H_
#define COMFREYVANE_CONFIG_CODEC_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "comfreyvane/config/configuration.h"
#include "comfreyvane/config/configuration_section.h"
#include "comfreyvane/config/parse_errors.h"

namespace comfreyvane {

/// @param configuration any configuration.
/// @return the same objects in canonical order: by name, a link's regions and
///         then the links by name, shares by site, keys by identifier.
[[nodiscard]] Configuration Canonical(Configuration configuration);

/// @param configuration any configuration.
/// @return its canonical form as JSON. Each object begins a line of its own and
///         so does each share and key, so that versions diff line by line.
[[nodiscard]] std::string Print(const Configuration& configuration);

/// @param text JSON as made by Print(); every member must be there and no
///        other.
/// @return the configuration as written, or the error object ParseErrors.
[[nodiscard]] boost::leaf::result<Configuration> Parse(std::string_view text);

/// @return SHA-256 of the printed configuration, 64 hexadecimal digits.
[[nodiscard]] std::string Digest(const Configuration& configuration);

/// @return one section an object, in canonical order.
[[nodiscard]] std::vector<ConfigurationSection> ToSections(
    const Configuration& configuration);

/// @param sections sections in any order.
/// @return the configuration in canonical order, or the error object
///         ParseErrors, whose places start with the section's name.
[[nodiscard]] boost::leaf::result<Configuration> FromSections(
    const std::vector<ConfigurationSection>& sections);

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_CODEC_H_
