#include "comfreyvane/operate/drain_target.h"

namespace comfreyvane {

std::string_view Name(DrainTarget target) {
  return target == DrainTarget::kHost ? "host" : "backend-server";
}

}  // namespace comfreyvane
