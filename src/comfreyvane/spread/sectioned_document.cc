#include "comfreyvane/spread/sectioned_document.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/spread/spread_error.h"

namespace comfreyvane {

namespace {

std::uint64_t DigestOf(const Section& section) {
  return HashPair(HashBytes(section.key), HashBytes(section.text));
}

const std::string& KeyOf(const SectionedDocument::SectionPtr& section) {
  return section->key;
}

bool AreOrdered(const std::vector<SectionChange>& changes) {
  return std::ranges::adjacent_find(changes, std::ranges::greater_equal(),
                                    &SectionChange::key) == changes.end();
}

}  // namespace

SectionedDocument::SectionedDocument(std::vector<Section> sections) {
  std::ranges::sort(sections, {}, &Section::key);
  sections_.reserve(sections.size());
  for (Section& section : sections) {
    digest_ ^= DigestOf(section);
    sections_.push_back(std::make_shared<const Section>(std::move(section)));
  }
}

const std::string* SectionedDocument::Find(std::string_view key) const {
  const auto at = std::ranges::lower_bound(
      sections_, key, {},
      [](const SectionPtr& section) { return std::string_view(section->key); });
  return at != sections_.end() && (*at)->key == key ? &(*at)->text : nullptr;
}

std::vector<SectionChange> SectionedDocument::Diff(
    const SectionedDocument& other) const {
  std::vector<SectionChange> changes;
  auto mine = sections_.begin();
  auto theirs = other.sections_.begin();
  while (mine != sections_.end() || theirs != other.sections_.end()) {
    if (theirs == other.sections_.end() ||
        (mine != sections_.end() && (*mine)->key < (*theirs)->key)) {
      changes.push_back({(*mine)->key, std::nullopt});
      ++mine;
      continue;
    }
    const bool added = mine == sections_.end() || (*theirs)->key < (*mine)->key;
    if (added || (*mine)->text != (*theirs)->text)
      changes.push_back({(*theirs)->key, (*theirs)->text});
    if (!added)
      ++mine;
    ++theirs;
  }
  return changes;
}

boost::leaf::result<SectionedDocument> SectionedDocument::Apply(
    const std::vector<SectionChange>& changes) const {
  if (!AreOrdered(changes))
    return boost::leaf::new_error(SpreadError::kMalformed);
  SectionedDocument result;
  result.digest_ = digest_;
  result.sections_.reserve(sections_.size() + changes.size());
  auto from = sections_.begin();
  for (const SectionChange& change : changes) {
    const auto to =
        std::ranges::lower_bound(from, sections_.end(), change.key, {}, KeyOf);
    result.sections_.insert(result.sections_.end(), from, to);
    from = to;
    const bool exists = to != sections_.end() && (*to)->key == change.key;
    if (!exists && !change.text)
      return boost::leaf::new_error(SpreadError::kBaseMismatch);
    if (exists) {
      result.digest_ ^= DigestOf(**to);
      ++from;
    }
    if (!change.text)
      continue;
    auto section =
        std::make_shared<const Section>(Section{change.key, *change.text});
    result.digest_ ^= DigestOf(*section);
    result.sections_.push_back(std::move(section));
  }
  result.sections_.insert(result.sections_.end(), from, sections_.end());
  return result;
}

bool operator==(const SectionedDocument& a, const SectionedDocument& b) {
  if (a.digest_ != b.digest_)
    return false;
  return std::ranges::equal(a.sections_, b.sections_,
                            [](const auto& left, const auto& right) {
                              return left == right || *left == *right;
                            });
}

}  // namespace comfreyvane
