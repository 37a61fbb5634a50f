/// @file
/// Change of what a host knows about a server's request limit.
#ifndef COMFREYVANE_EDGE_LIMIT_CHANGE_H_
#define COMFREYVANE_EDGE_LIMIT_CHANGE_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Change of what a host knows about a backend server's request limit.
struct LimitChange {
  enum class Kind : std::uint8_t {
    kNone,
    kLearned,  ///< The server had no limit.
    kChanged,  ///< The server had another limit.
    kExpired,  ///< The server no longer has a limit.
  };

  Kind kind = Kind::kNone;
  double before = 0.0;  ///< Requests/s.
  double rate = 0.0;    ///< Requests/s.
  Duration age{};       ///< Of what was known before; zero if nothing was.

  friend bool operator==(const LimitChange&, const LimitChange&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_LIMIT_CHANGE_H_
