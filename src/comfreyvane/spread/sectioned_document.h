/// @file
/// An immutable document of named sections.
#ifndef COMFREYVANE_SPREAD_SECTIONED_DOCUMENT_H_
#define COMFREYVANE_SPREAD_SECTIONED_DOCUMENT_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "comfreyvane/spread/section.h"
#include "comfreyvane/spread/section_change.h"

namespace comfreyvane {

/// An immutable document of named sections in the order of their keys. Copies
/// share the sections.
class SectionedDocument {
 public:
  using SectionPtr = std::shared_ptr<const Section>;

  SectionedDocument() = default;

  /// @param sections in any order, with distinct keys.
  explicit SectionedDocument(std::vector<Section> sections);

  /// @return the sections in the order of their keys.
  [[nodiscard]] const std::vector<SectionPtr>& sections() const {
    return sections_;
  }

  /// @return the section's text, or null.
  [[nodiscard]] const std::string* Find(std::string_view key) const;

  /// @return a digest of all keys and texts, kept up as sections change.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

  /// @return the changes that turn this document into another.
  [[nodiscard]] std::vector<SectionChange> Diff(
      const SectionedDocument& other) const;

  /// @param changes in the order of their keys, each key once.
  /// @return the changed document; SpreadError::kMalformed when the changes are
  /// out of order, kBaseMismatch when a deleted section does not exist.
  [[nodiscard]] boost::leaf::result<SectionedDocument> Apply(
      const std::vector<SectionChange>& changes) const;

  friend bool operator==(const SectionedDocument& a,
                         const SectionedDocument& b);

 private:
  std::vector<SectionPtr> sections_;
  std::uint64_t digest_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_SECTIONED_DOCUMENT_H_
