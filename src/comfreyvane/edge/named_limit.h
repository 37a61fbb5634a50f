/// @file
/// Request limit that an answer of a backend server names.
#ifndef COMFREYVANE_EDGE_NAMED_LIMIT_H_
#define COMFREYVANE_EDGE_NAMED_LIMIT_H_

#include <cstdint>

namespace comfreyvane {

/// Request limit that an answer of a backend server names.
struct NamedLimit {
  enum class State : std::uint8_t {
    kAbsent,      ///< The answer names no limit.
    kNamed,       ///< `rate` is the limit.
    kUnreadable,  ///< The answer names something that is not a rate.
  };

  State state = State::kAbsent;
  /// Requests/s that the server accepts from all hosts together.
  double rate = 0.0;

  friend bool operator==(const NamedLimit&, const NamedLimit&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_NAMED_LIMIT_H_
