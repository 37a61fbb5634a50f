#include "comfreyvane/declare/workspace_builder.h"

#include <fstream>
#include <utility>

#include "comfreyvane/config/keys.h"

namespace comfreyvane::declare {

WorkspaceBuilder::WorkspaceBuilder(std::string name) {
  value_.name = std::move(name);
}

WorkspaceBuilder& WorkspaceBuilder::Weight(std::uint32_t weight) {
  value_.weight = weight;
  return *this;
}

WorkspaceBuilder& WorkspaceBuilder::Rate(RequestsPerSecond rate) {
  value_.rate = rate.value;
  return *this;
}

WorkspaceBuilder& WorkspaceBuilder::Burst(Requests burst) {
  value_.burst = burst.value;
  return *this;
}

WorkspaceBuilder& WorkspaceBuilder::AddKey(std::string id, std::string sha256) {
  value_.keys.push_back({std::move(id), std::move(sha256), false});
  return *this;
}

WorkspaceBuilder& WorkspaceBuilder::AddKeyFile(
    std::string id,
    const std::filesystem::path& path) {
  std::ifstream file(path);
  std::string key;
  if (!std::getline(file, key) || key.empty()) {
    unreadable_.push_back(path);
    return *this;
  }
  if (key.back() == '\r')
    key.pop_back();
  return AddKey(std::move(id), HashKey(CallerKey(std::move(key))));
}

WorkspaceBuilder& WorkspaceBuilder::Withdraw(const std::string& id) {
  for (KeyRecord& key : value_.keys) {
    if (key.id == id)
      key.withdrawn = true;
  }
  return *this;
}

}  // namespace comfreyvane::declare
