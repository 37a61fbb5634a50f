/// @file
/// Tables of the platform's store that the gateway uses.
#ifndef COMFREYVANE_GATEWAY_STORE_TABLE_H_
#define COMFREYVANE_GATEWAY_STORE_TABLE_H_

namespace comfreyvane {

/// A table of the store.
enum class StoreTable {
  kOperator,  ///< What operators declare. Read only.
  kBackends,  ///< Backend servers. Read only.
  kHosts,     ///< The fleet's own hosts and its secret.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_STORE_TABLE_H_
