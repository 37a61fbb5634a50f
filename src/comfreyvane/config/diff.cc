#include "comfreyvane/config/diff.h"

#include <cstddef>
#include <map>
#include <string>

#include "comfreyvane/config/codec.h"

namespace comfreyvane {
namespace {

using Sections = std::vector<ConfigurationSection>;
using Texts = std::map<std::string, std::string>;

Texts ByName(const Sections& sections) {
  Texts texts;
  for (const ConfigurationSection& section : sections)
    texts[section.name] = section.text;
  return texts;
}

}  // namespace

std::vector<ConfigurationChange> Diff(const Configuration& before,
                                      const Configuration& after) {
  const Sections old_sections = ToSections(before);
  const Sections new_sections = ToSections(after);
  const Texts old_texts = ByName(old_sections);
  const Texts new_texts = ByName(new_sections);
  std::vector<ConfigurationChange> changes;
  for (const ConfigurationSection& section : old_sections) {
    if (!new_texts.contains(section.name))
      changes.push_back({ChangeKind::kRemoved, section.name, section.text, ""});
  }
  for (const ConfigurationSection& section : new_sections) {
    const auto old_text = old_texts.find(section.name);
    if (old_text == old_texts.end())
      changes.push_back({ChangeKind::kAdded, section.name, "", section.text});
    else if (old_text->second != section.text)
      changes.push_back(
          {ChangeKind::kChanged, section.name, old_text->second, section.text});
  }
  return changes;
}

std::string_view Name(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "changed";
}

}  // namespace comfreyvane
