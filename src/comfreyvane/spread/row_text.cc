#include "comfreyvane/spread/row_text.h"

#include <utility>
#include <vector>

#include "comfreyvane/spread/spread_error.h"
#include "comfreyvane/spread/text_reader.h"

namespace comfreyvane {

namespace {

enum class ChangeKind : std::uint64_t { kDelete = 0, kSet = 1 };

boost::leaf::result<SectionChange> ReadChange(TextReader& reader) {
  BOOST_LEAF_AUTO(kind, reader.Number());
  BOOST_LEAF_AUTO(key, reader.Bytes());
  if (kind == static_cast<std::uint64_t>(ChangeKind::kDelete))
    return SectionChange{std::move(key), std::nullopt};
  if (kind != static_cast<std::uint64_t>(ChangeKind::kSet))
    return boost::leaf::new_error(SpreadError::kMalformed);
  BOOST_LEAF_AUTO(text, reader.Bytes());
  return SectionChange{std::move(key), std::move(text)};
}

}  // namespace

std::string DeltaText(const ConfigurationDelta& delta) {
  std::string text;
  AppendNumber(text, delta.from.value());
  AppendNumber(text, delta.to.value());
  AppendNumber(text, delta.digest);
  for (const SectionChange& change : delta.changes) {
    const auto kind = change.text ? ChangeKind::kSet : ChangeKind::kDelete;
    AppendNumber(text, static_cast<std::uint64_t>(kind));
    AppendBytes(text, change.key);
    if (change.text)
      AppendBytes(text, *change.text);
  }
  return text;
}

boost::leaf::result<ConfigurationDelta> ParseDelta(std::string_view text) {
  TextReader reader(text);
  BOOST_LEAF_AUTO(from, reader.Number());
  BOOST_LEAF_AUTO(to, reader.Number());
  BOOST_LEAF_AUTO(digest, reader.Number());
  ConfigurationDelta delta{Revision(from), Revision(to), digest, {}};
  while (!reader.at_end()) {
    BOOST_LEAF_AUTO(change, ReadChange(reader));
    delta.changes.push_back(std::move(change));
  }
  return delta;
}

std::string DocumentText(const ConfigurationDocument& document) {
  std::string text;
  AppendNumber(text, document.revision.value());
  AppendNumber(text, document.digest());
  for (const auto& section : document.document.sections()) {
    AppendBytes(text, section->key);
    AppendBytes(text, section->text);
  }
  return text;
}

boost::leaf::result<ConfigurationDocument> ParseDocument(
    std::string_view text) {
  TextReader reader(text);
  BOOST_LEAF_AUTO(revision, reader.Number());
  BOOST_LEAF_AUTO(digest, reader.Number());
  std::vector<Section> sections;
  while (!reader.at_end()) {
    BOOST_LEAF_AUTO(key, reader.Bytes());
    BOOST_LEAF_AUTO(content, reader.Bytes());
    sections.push_back({std::move(key), std::move(content)});
  }
  ConfigurationDocument document{Revision(revision),
                                 SectionedDocument(std::move(sections))};
  if (document.digest() != digest)
    return boost::leaf::new_error(SpreadError::kDigestMismatch);
  return document;
}

}  // namespace comfreyvane
