#include "comfreyvane/edge/server_limit.h"

namespace comfreyvane {

LimitChange ServerLimit::OnAnswer(const NamedLimit& named,
                                  TimePoint sent_at,
                                  TimePoint now) {
  switch (named.state) {
    case NamedLimit::State::kNamed:
      return Set(true, named.rate, now);
    case NamedLimit::State::kAbsent:
      return is_named_ && sent_at > heard_at_ ? Set(false, 0.0, now)
                                              : LimitChange{};
    case NamedLimit::State::kUnreadable:
      return {};
  }
  return {};
}

LimitChange ServerLimit::Clear(TimePoint now) {
  return is_named_ ? Set(false, 0.0, now) : LimitChange{};
}

LimitChange ServerLimit::Set(bool is_named, double rate, TimePoint heard_at) {
  LimitChange change;
  if (is_named && !is_named_)
    change.kind = LimitChange::Kind::kLearned;
  else if (!is_named)
    change.kind = LimitChange::Kind::kExpired;
  else if (rate != rate_)
    change.kind = LimitChange::Kind::kChanged;
  change.before = rate_;
  change.rate = rate;
  if (heard_at_ != TimePoint{})
    change.age_s = std::chrono::duration<double>(heard_at - heard_at_).count();
  is_named_ = is_named;
  rate_ = rate;
  heard_at_ = heard_at;
  return change;
}

}  // namespace comfreyvane
