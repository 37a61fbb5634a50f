#include "comfreyvane/config/codec.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/config/keys.h"
#include "comfreyvane/config/object_codec.h"

namespace comfreyvane {
namespace {

template <typename Object>
void SortByName(std::vector<Object>& objects) {
  std::stable_sort(objects.begin(), objects.end(),
                   [](const Object& a, const Object& b) {
                     return ObjectName(a) < ObjectName(b);
                   });
}

/// Reads the one section that a source holds into the kind it names.
class SectionReader {
 public:
  SectionReader(const ConfigurationSection& section,
                std::vector<ParseError>& errors)
      : section_(section), errors_(errors) {}

  void ReadInto(Configuration& configuration) {
    const std::string kind = section_.name.substr(0, section_.name.find('/'));
    bool known = false;
    VisitKinds(configuration, [&](const char* name, const char*, auto& list) {
      if (kind != name)
        return;
      known = true;
      ReadObject(kind, list.emplace_back());
    });
    if (!known)
      errors_.push_back({ParseErrorKind::kUnknownValue, 1, section_.name});
  }

 private:
  template <typename Object>
  void ReadObject(const std::string& kind, Object& out) {
    const JsonSource source(section_.text);
    if (source.error()) {
      errors_.push_back(
          {source.error()->kind, source.error()->line, section_.name});
      return;
    }
    ObjectReader reader(source);
    reader.Read(source.root(), section_.name, out);
    for (const ParseError& error : reader.errors())
      errors_.push_back(error);
    if (reader.errors().empty() &&
        kind + '/' + ObjectName(out) != section_.name)
      errors_.push_back({ParseErrorKind::kUnknownValue, 1, section_.name});
  }

  const ConfigurationSection& section_;
  std::vector<ParseError>& errors_;
};

}  // namespace

Configuration Canonical(Configuration configuration) {
  for (RegionLink& link : configuration.links) {
    if (link.second < link.first)
      std::swap(link.first, link.second);
  }
  for (Service& service : configuration.services)
    SortByName(service.shares);
  for (Workspace& workspace : configuration.workspaces)
    SortByName(workspace.keys);
  VisitKinds(configuration, [](const char*, const char*, auto& objects) {
    SortByName(objects);
  });
  return configuration;
}

std::string Print(const Configuration& configuration) {
  const Configuration canonical = Canonical(configuration);
  ObjectWriter writer(ObjectWriter::Style::kLines);
  writer.WriteRaw("{");
  bool first = true;
  VisitKinds(canonical, [&](const char*, const char* name, const auto& list) {
    writer.WriteRaw(first ? "\n  \"" : ",\n  \"");
    first = false;
    writer.WriteRaw(name);
    writer.WriteRaw("\": ");
    writer.WriteList(list, 2);
  });
  writer.WriteRaw("\n}\n");
  return writer.text();
}

boost::leaf::result<Configuration> Parse(std::string_view text) {
  return ReadObject<Configuration>(text);
}

std::string Digest(const Configuration& configuration) {
  return Sha256Hex(Print(configuration));
}

std::vector<ConfigurationSection> ToSections(
    const Configuration& configuration) {
  const Configuration canonical = Canonical(configuration);
  std::vector<ConfigurationSection> sections;
  VisitKinds(canonical, [&](const char* kind, const char*, const auto& list) {
    for (const auto& object : list) {
      sections.push_back(
          {std::string(kind) + '/' + ObjectName(object), WriteObject(object)});
    }
  });
  return sections;
}

boost::leaf::result<Configuration> FromSections(
    const std::vector<ConfigurationSection>& sections) {
  Configuration configuration;
  ParseErrors errors;
  for (const ConfigurationSection& section : sections)
    SectionReader(section, errors.errors).ReadInto(configuration);
  if (!errors.errors.empty())
    return boost::leaf::new_error(std::move(errors));
  return Canonical(std::move(configuration));
}

}  // namespace comfreyvane
