/// @file
/// Whether a request has run.
#ifndef COMFREYVANE_BASE_RUN_STATE_H_
#define COMFREYVANE_BASE_RUN_STATE_H_

#include <string_view>

namespace comfreyvane {

/// What a refusal claims about the request it refuses.
enum class RunState {
  kNotRun,   ///< No byte of it may have reached a backend server.
  kRan,      ///< A backend server has answered it.
  kUnknown,  ///< It may have run.
};

/// @return the name in answers to callers, such as "not-run".
[[nodiscard]] std::string_view Name(RunState state);

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_RUN_STATE_H_
