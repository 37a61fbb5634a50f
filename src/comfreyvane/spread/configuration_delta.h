/// @file
/// The step from one revision to the next.
#ifndef COMFREYVANE_SPREAD_CONFIGURATION_DELTA_H_
#define COMFREYVANE_SPREAD_CONFIGURATION_DELTA_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/spread/configuration_document.h"
#include "comfreyvane/spread/section_change.h"

namespace comfreyvane {

/// The step from one revision to the next.
struct ConfigurationDelta {
  Revision from;
  Revision to;
  std::uint64_t digest = 0;  ///< Of the document that results.
  std::vector<SectionChange> changes;

  /// @return the step between two documents.
  [[nodiscard]] static ConfigurationDelta Between(
      const ConfigurationDocument& from,
      const ConfigurationDocument& to);

  /// @return the document that results; SpreadError::kBaseMismatch when base is
  /// of another revision, kDigestMismatch when the result differs.
  [[nodiscard]] boost::leaf::result<ConfigurationDocument> ApplyTo(
      const ConfigurationDocument& base) const;

  friend bool operator==(const ConfigurationDelta&,
                         const ConfigurationDelta&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_CONFIGURATION_DELTA_H_
