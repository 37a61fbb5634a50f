#include "comfreyvane/config/policy_names.h"

namespace comfreyvane {

std::string_view Name(AccessPolicy policy) {
  return policy == AccessPolicy::kKeyed ? "keyed" : "open";
}

std::string_view Name(OncePolicy policy) {
  return policy == OncePolicy::kHostRecord ? "host-record" : "store-record";
}

}  // namespace comfreyvane
