/// @file
/// A section of a configuration document.
#ifndef COMFREYVANE_SPREAD_SECTION_H_
#define COMFREYVANE_SPREAD_SECTION_H_

#include <string>

namespace comfreyvane {

/// The text of one named object, such as "service/scripts".
struct Section {
  std::string key;   ///< "kind/name".
  std::string text;  ///< JSON text of the object.

  friend bool operator==(const Section&, const Section&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_SECTION_H_
