/// @file
/// Names of one kind of object.
#ifndef COMFREYVANE_CONFIG_NAME_SET_H_
#define COMFREYVANE_CONFIG_NAME_SET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "comfreyvane/config/configuration_error_kind.h"

namespace comfreyvane {

/// The names of one kind of object, each valid, once, and with an identifier
/// of its own.
class NameSet {
 public:
  using IdOf = std::function<std::uint64_t(const std::string& name)>;

  /// @param id_of the identifier of a name.
  explicit NameSet(IdOf id_of);

  /// Adds a name even if it is at fault, so that references to it are known.
  /// @return the fault, or nothing.
  std::optional<ConfigurationErrorKind> Add(const std::string& name);

  [[nodiscard]] bool Contains(const std::string& name) const;

 private:
  IdOf id_of_;
  std::map<std::string, std::uint64_t> ids_;
  std::map<std::uint64_t, std::string> names_;
};

/// @return whether a name has only letters, digits, '.', '_' and '-', and is
///         neither empty nor longer than 64 bytes.
[[nodiscard]] bool IsWellFormedName(const std::string& name);

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_NAME_SET_H_
