#include "comfreyvane/spread/head_row.h"

#include "comfreyvane/spread/text_reader.h"

namespace comfreyvane {

std::string HeadRow::Text() const {
  std::string text;
  AppendNumber(text, revision.value());
  AppendNumber(text, digest);
  return text;
}

boost::leaf::result<HeadRow> HeadRow::Parse(std::string_view text) {
  if (text.empty())
    return HeadRow{};
  TextReader reader(text);
  BOOST_LEAF_AUTO(revision, reader.Number());
  BOOST_LEAF_AUTO(digest, reader.Number());
  return HeadRow{Revision(revision), digest};
}

std::string DeltaKey(Revision revision) {
  return "config/delta/" + std::to_string(revision.value());
}

std::string FullKey(Revision revision) {
  return "config/full/" + std::to_string(revision.value());
}

Revision FullRevision(Revision revision) {
  if (revision == Revision())
    return revision;
  return Revision((revision.value() - 1) / kFullInterval * kFullInterval + 1);
}

}  // namespace comfreyvane
