#include "comfreyvane/config/name_set.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace comfreyvane {
namespace {

constexpr std::size_t kMaxNameBytes = 64;

}  // namespace

NameSet::NameSet(IdOf id_of) : id_of_(std::move(id_of)) {}

std::optional<ConfigurationErrorKind> NameSet::Add(const std::string& name) {
  const std::uint64_t id = id_of_(name);
  if (!ids_.emplace(name, id).second)
    return ConfigurationErrorKind::kDuplicateName;
  const bool own_id = names_.emplace(id, name).second;
  if (!IsWellFormedName(name))
    return ConfigurationErrorKind::kMalformedName;
  if (!own_id)
    return ConfigurationErrorKind::kIdCollision;
  return std::nullopt;
}

bool NameSet::Contains(const std::string& name) const {
  return ids_.contains(name);
}

bool IsWellFormedName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

}  // namespace comfreyvane
