/// @file
/// Declaration of a workspace.
#ifndef COMFREYVANE_DECLARE_WORKSPACE_BUILDER_H_
#define COMFREYVANE_DECLARE_WORKSPACE_BUILDER_H_

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "comfreyvane/config/workspace.h"
#include "comfreyvane/declare/units.h"

namespace comfreyvane::declare {

/// Declares one workspace. Rate and burst have to be given; the weight is one
/// without a call.
class WorkspaceBuilder {
 public:
  explicit WorkspaceBuilder(std::string name);

  /// Its part of scarce capacity against other workspaces.
  WorkspaceBuilder& Weight(std::uint32_t weight);

  /// Its rate over all hosts together.
  WorkspaceBuilder& Rate(RequestsPerSecond rate);

  /// Its burst over all hosts together.
  WorkspaceBuilder& Burst(Requests burst);

  /// Adds a key by its hash.
  /// @param id shown to operators, unique in the deployment.
  /// @param sha256 64 lower-case hexadecimal digits.
  WorkspaceBuilder& AddKey(std::string id, std::string sha256);

  /// Adds a key by a file that holds it in clear on its first line. Only the
  /// hash is kept.
  WorkspaceBuilder& AddKeyFile(std::string id,
                               const std::filesystem::path& path);

  /// Withdraws a key that was added before.
  WorkspaceBuilder& Withdraw(const std::string& id);

  [[nodiscard]] const Workspace& value() const { return value_; }

  /// @return key files that could not be read.
  [[nodiscard]] const std::vector<std::filesystem::path>& unreadable() const {
    return unreadable_;
  }

 private:
  Workspace value_;
  std::vector<std::filesystem::path> unreadable_;
};

}  // namespace comfreyvane::declare

#endif  // COMFREYVANE_DECLARE_WORKSPACE_BUILDER_H_
