/// @file
/// The row that names the newest accepted revision.
#ifndef COMFREYVANE_SPREAD_HEAD_ROW_H_
#define COMFREYVANE_SPREAD_HEAD_ROW_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "comfreyvane/base/revision.h"

namespace comfreyvane {

/// Key of the row that names the newest accepted revision.
inline constexpr char kHeadKey[] = "config/head";

/// Key of the row that names the newest operators' requests.
inline constexpr char kRequestsKey[] = "config/requests";

/// Key of the row that names the acceptors.
inline constexpr char kAcceptorsKey[] = "config/acceptors";

/// Deltas that the store keeps.
inline constexpr std::uint64_t kKeptDeltas = 256;

/// Revisions between two full documents in the store.
inline constexpr std::uint64_t kFullInterval = 64;

/// Value of row kHeadKey.
struct HeadRow {
  Revision revision;
  std::uint64_t digest = 0;

  /// @return the row's text.
  [[nodiscard]] std::string Text() const;

  /// @return the row, of revision zero when the text is empty, or
  /// SpreadError::kMalformed.
  [[nodiscard]] static boost::leaf::result<HeadRow> Parse(
      std::string_view text);

  friend bool operator==(const HeadRow&, const HeadRow&) = default;
};

/// @return the key of the row that holds the delta to a revision.
[[nodiscard]] std::string DeltaKey(Revision revision);

/// @return the key of the row that holds the whole document of a revision.
[[nodiscard]] std::string FullKey(Revision revision);

/// @return the newest revision, not above this one, that is kept whole.
[[nodiscard]] Revision FullRevision(Revision revision);

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_HEAD_ROW_H_
