/// @file
/// What a run of the soak plays.
#ifndef TESTS_SOAK_SOAK_OPTIONS_H_
#define TESTS_SOAK_SOAK_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace comfreyvane::soak {

/// What a run of the soak plays.
struct SoakOptions {
  std::string program;
  /// Another build. Each host changes the build whenever it is started again,
  /// half of the hosts start with this one; empty: none.
  std::string other_program;
  std::uint64_t seed = 1;
  int seconds = 20;
  std::size_t hosts = 4;
  std::size_t callers = 8;
  bool cuts_from_servers = false;  ///< Also cuts hosts from all servers.
  /// Only stops, reloads, releases, limits and configurations, in series and
  /// overlapping.
  bool only_planned = false;
  /// Servers and the store use all that the platform allows them.
  bool has_odd_peers = false;
  bool keeps_logs = false;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_OPTIONS_H_
