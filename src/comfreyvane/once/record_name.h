/// @file
/// Name of a non-idempotent request in the table service.
#ifndef COMFREYVANE_ONCE_RECORD_NAME_H_
#define COMFREYVANE_ONCE_RECORD_NAME_H_

#include <boost/leaf/result.hpp>
#include <compare>
#include <cstdint>
#include <string>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"

namespace comfreyvane {

/// Name of a non-idempotent request under OncePolicy::kStoreRecord. Any host
/// may run the request while the epoch of the name is the current or the
/// previous one in the table service.
struct RecordName {
  ServiceId service;
  WorkspaceId workspace;
  std::uint64_t epoch = 0;
  HostId issuer;
  Incarnation incarnation;
  std::uint64_t serial = 0;  ///< Unique within the incarnation.

  friend auto operator<=>(const RecordName&, const RecordName&) = default;
};

/// @return the name in the form of the request header.
[[nodiscard]] std::string ToText(const RecordName& name);

/// @return the name, or a Refusal kMalformedRequest of unknown run state.
[[nodiscard]] boost::leaf::result<RecordName> ParseRecordName(
    std::string_view text);

/// @return the key of the name's row.
[[nodiscard]] std::string RowKey(const RecordName& name);

/// @return the common prefix of the keys of an epoch's rows.
[[nodiscard]] std::string EpochPrefix(ServiceId service, std::uint64_t epoch);

/// @return the key of the row that holds the current epoch.
[[nodiscard]] std::string EpochKey(ServiceId service);

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_RECORD_NAME_H_
