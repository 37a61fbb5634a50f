/// @file
/// Row of a request in the table service.
#ifndef COMFREYVANE_ONCE_STORE_RECORD_H_
#define COMFREYVANE_ONCE_STORE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"

namespace comfreyvane {

/// Row of a request in the table service. It is inserted before the dispatch,
/// and only the submission that inserted it may run the request.
struct StoreRecord {
  RequestId request;  ///< Fingerprint of the submitted request.
  HostId owner;
  Incarnation incarnation;
  std::uint64_t submission = 0;  ///< Unique within the owner's incarnation.
  bool done = false;
  std::uint16_t status = 0;  ///< HTTP status of the response, if done.

  friend bool operator==(const StoreRecord&, const StoreRecord&) = default;
};

/// @return the value of the row.
[[nodiscard]] std::string ToRowValue(const StoreRecord& record);

/// @return the record, or nullopt if the value is malformed.
[[nodiscard]] std::optional<StoreRecord> ParseRowValue(std::string_view value);

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_STORE_RECORD_H_
