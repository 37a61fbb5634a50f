/// @file
/// A workspace.
#ifndef COMFREYVANE_CONFIG_WORKSPACE_H_
#define COMFREYVANE_CONFIG_WORKSPACE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "comfreyvane/config/key_record.h"

namespace comfreyvane {

/// A tenant, its limits over all hosts together, and its keys.
struct Workspace {
  std::string name;
  std::uint32_t weight = 1;  ///< Its part of scarce capacity.
  std::uint32_t rate = 0;    ///< Requests a second.
  std::uint32_t burst = 0;   ///< Requests.
  std::vector<KeyRecord> keys;

  friend bool operator==(const Workspace&, const Workspace&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_WORKSPACE_H_
