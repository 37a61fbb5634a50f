/// @file
/// A request of the soak.
#ifndef TESTS_SOAK_SOAK_REQUEST_H_
#define TESTS_SOAK_SOAK_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "comfreyvane/base/time.h"

namespace comfreyvane::soak {

enum class Method : std::uint8_t { kGet, kHead, kPost };

/// Workspace that a configuration may bind to regions, and one with a limit.
inline const char* const kBoundWorkspace = "galle";
inline const char* const kLimitedWorkspace = "kandy";

/// A request of the soak. Servers check it against what they get.
struct SoakRequest {
  std::string id;
  Method method = Method::kGet;
  bool is_route_bound = false;      ///< Whether its route may have regions.
  bool is_workspace_bound = false;  ///< Whether its workspace may have regions.
  Duration work = std::chrono::milliseconds(20);  ///< Of the server.
  Duration deadline = std::chrono::milliseconds(1500);
  std::size_t body_repeats = 1;  ///< The body is its id, repeated.
  bool is_chunked = false;

  friend bool operator==(const SoakRequest&, const SoakRequest&) = default;

  [[nodiscard]] bool is_idempotent() const { return method != Method::kPost; }
  [[nodiscard]] bool is_bound() const {
    return is_route_bound || is_workspace_bound;
  }
  [[nodiscard]] std::string workspace() const {
    return is_workspace_bound ? kBoundWorkspace : kLimitedWorkspace;
  }
  /// @return method, target and workspace, as a server must get them.
  [[nodiscard]] std::string Summary() const;
  /// @return the bytes to send.
  [[nodiscard]] std::string Text() const;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_REQUEST_H_
