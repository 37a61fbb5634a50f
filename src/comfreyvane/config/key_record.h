/// @file
/// A key of a workspace, hashed.
#ifndef COMFREYVANE_CONFIG_KEY_RECORD_H_
#define COMFREYVANE_CONFIG_KEY_RECORD_H_

#include <string>

namespace comfreyvane {

/// A key of a workspace. The key itself is kept nowhere.
struct KeyRecord {
  std::string id;      ///< Shown to operators.
  std::string sha256;  ///< Of the key, 64 lower-case hexadecimal digits.
  bool withdrawn = false;

  friend bool operator==(const KeyRecord&, const KeyRecord&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_KEY_RECORD_H_
