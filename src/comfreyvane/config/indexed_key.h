/// @file
/// A key as the request path finds it.
#ifndef COMFREYVANE_CONFIG_INDEXED_KEY_H_
#define COMFREYVANE_CONFIG_INDEXED_KEY_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// What a presented key stands for.
struct IndexedKey {
  KeyId id;
  WorkspaceId workspace;
  std::uint32_t workspace_index = 0;  ///< In Configuration::workspaces.
  bool withdrawn = false;

  friend bool operator==(const IndexedKey&, const IndexedKey&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_INDEXED_KEY_H_
