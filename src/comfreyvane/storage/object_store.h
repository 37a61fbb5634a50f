/// @file
/// What the system needs of the platform's object store.
#ifndef COMFREYVANE_STORAGE_OBJECT_STORE_H_
#define COMFREYVANE_STORAGE_OBJECT_STORE_H_

#include <concepts>
#include <functional>
#include <string>

#include "comfreyvane/storage/object_reading.h"

namespace comfreyvane {

/// A store of immutable named objects. Each call answers once.
template <typename T>
concept ObjectStore = requires(T& store,
                               const std::string& name,
                               const std::string& content,
                               std::function<void(TableStatus)> on_stored,
                               std::function<void(ObjectReading)> on_reading) {
  { store.PutObject(name, content, on_stored) } -> std::same_as<void>;
  { store.ReadObject(name, on_reading) } -> std::same_as<void>;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_OBJECT_STORE_H_
