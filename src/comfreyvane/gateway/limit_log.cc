#include "comfreyvane/gateway/limit_log.h"

#include "comfreyvane/log/log.h"

namespace comfreyvane {
namespace {

EventName EventOf(LimitChange::Kind kind) {
  switch (kind) {
    case LimitChange::Kind::kLearned:
      return "server-limit-learned";
    case LimitChange::Kind::kChanged:
      return "server-limit-changed";
    case LimitChange::Kind::kExpired:
    case LimitChange::Kind::kNone:
      break;
  }
  return "server-limit-expired";
}

}  // namespace

void LogLimitChange(std::string_view server,
                    const LimitChange& change,
                    std::string_view source) {
  if (change.kind == LimitChange::Kind::kNone)
    return;
  Log(LogLevel::kInfo, EventOf(change.kind),
      {{"server", server},
       {"source", source},
       {"before", change.before},
       {"rate", change.rate},
       {"age_ms", change.age}});
}

}  // namespace comfreyvane
