/// @file
/// A configuration as it is accepted.
#ifndef COMFREYVANE_SPREAD_CONFIGURATION_DOCUMENT_H_
#define COMFREYVANE_SPREAD_CONFIGURATION_DOCUMENT_H_

#include <cstdint>
#include <memory>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/spread/sectioned_document.h"

namespace comfreyvane {

/// A configuration as it is accepted and spread; its meaning is package
/// config's matter.
struct ConfigurationDocument {
  Revision revision;
  SectionedDocument document;

  /// @return the digest of the document.
  [[nodiscard]] std::uint64_t digest() const { return document.digest(); }

  friend bool operator==(const ConfigurationDocument&,
                         const ConfigurationDocument&) = default;
};

/// A configuration as it is handed to other threads.
using ConfigurationDocumentPtr = std::shared_ptr<const ConfigurationDocument>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_CONFIGURATION_DOCUMENT_H_
