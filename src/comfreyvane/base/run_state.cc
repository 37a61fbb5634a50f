#include "comfreyvane/base/run_state.h"

namespace comfreyvane {

std::string_view Name(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not-run";
    case RunState::kRan:
      return "ran";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace comfreyvane
