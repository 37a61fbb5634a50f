/// @file
/// Text of the rows that the table service keeps.
#ifndef COMFREYVANE_SPREAD_ROW_TEXT_H_
#define COMFREYVANE_SPREAD_ROW_TEXT_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "comfreyvane/spread/configuration_delta.h"
#include "comfreyvane/spread/configuration_document.h"

namespace comfreyvane {

/// @return the text of row "config/delta/<revision>".
[[nodiscard]] std::string DeltaText(const ConfigurationDelta& delta);

/// @return the delta, or SpreadError::kMalformed.
[[nodiscard]] boost::leaf::result<ConfigurationDelta> ParseDelta(
    std::string_view text);

/// @return the text of row "config/full/<revision>".
[[nodiscard]] std::string DocumentText(const ConfigurationDocument& document);

/// @return the document, or SpreadError::kMalformed or kDigestMismatch.
[[nodiscard]] boost::leaf::result<ConfigurationDocument> ParseDocument(
    std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_ROW_TEXT_H_
