/// @file
/// What the system needs of the platform's table service.
#ifndef COMFREYVANE_STORAGE_TABLE_SERVICE_H_
#define COMFREYVANE_STORAGE_TABLE_SERVICE_H_

#include <concepts>
#include <functional>
#include <string>
#include <vector>

#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_reading.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane {

/// A transactional table service. Each call answers once, through its
/// callback, by its own timeout at the latest.
template <typename T>
concept TableService = requires(T& service,
                                const TableTransaction& transaction,
                                const std::vector<std::string>& keys,
                                const std::string& prefix,
                                std::function<void(TableOutcome)> on_outcome,
                                std::function<void(TableReading)> on_reading) {
  { service.Commit(transaction, on_outcome) } -> std::same_as<void>;
  { service.Read(keys, on_reading) } -> std::same_as<void>;
  { service.Scan(prefix, on_reading) } -> std::same_as<void>;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_TABLE_SERVICE_H_
