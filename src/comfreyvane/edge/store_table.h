/// @file
/// Tables of the platform's store that the gateway uses.
#ifndef COMFREYVANE_EDGE_STORE_TABLE_H_
#define COMFREYVANE_EDGE_STORE_TABLE_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace comfreyvane {

/// A table of the store.
enum class StoreTable {
  kOperator,  ///< Configuration and evacuations. Read only.
  kBackends,  ///< Backend servers. Read only.
  kHosts,     ///< The fleet's own hosts and its secret.
};

/// Number of tables.
inline constexpr std::size_t kStoreTables = 3;

inline constexpr std::array<StoreTable, kStoreTables> kAllStoreTables{
    StoreTable::kOperator, StoreTable::kBackends, StoreTable::kHosts};

/// @return the index of a table in arrays.
[[nodiscard]] constexpr std::size_t IndexOf(StoreTable table) {
  return static_cast<std::size_t>(table);
}

/// @return the name of a table in log lines.
[[nodiscard]] constexpr std::string_view Name(StoreTable table) {
  constexpr std::array<std::string_view, kStoreTables> kNames{
      "operator", "backends", "hosts"};
  return kNames[IndexOf(table)];
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_STORE_TABLE_H_
