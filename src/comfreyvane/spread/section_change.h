/// @file
/// A change of one section.
#ifndef COMFREYVANE_SPREAD_SECTION_CHANGE_H_
#define COMFREYVANE_SPREAD_SECTION_CHANGE_H_

#include <optional>
#include <string>

namespace comfreyvane {

/// Sets a section, or deletes it where there is no text.
struct SectionChange {
  std::string key;
  std::optional<std::string> text;

  friend bool operator==(const SectionChange&, const SectionChange&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_SECTION_CHANGE_H_
