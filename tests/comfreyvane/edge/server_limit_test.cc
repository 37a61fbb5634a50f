#include "comfreyvane/edge/server_limit.h"

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr NamedLimit kNoLimit{};

NamedLimit Limit(double rate) {
  return {NamedLimit::State::kNamed, rate};
}

}  // namespace

Test(server_limit, is_learned_changed_and_expired_by_answers) {
  ServerLimit limit;
  cr_expect(limit.OnAnswer(kNoLimit, kStart, kStart).kind ==
            LimitChange::Kind::kNone);
  const LimitChange learned =
      limit.OnAnswer(Limit(2.4), kStart, kStart + seconds(1));
  cr_expect(learned.kind == LimitChange::Kind::kLearned);
  cr_expect_float_eq(learned.rate, 2.4, 1e-9);
  cr_expect(limit.OnAnswer(Limit(2.4), kStart, kStart + seconds(2)).kind ==
            LimitChange::Kind::kNone);
  const LimitChange changed =
      limit.OnAnswer(Limit(5), kStart, kStart + seconds(4));
  cr_expect(changed.kind == LimitChange::Kind::kChanged);
  cr_expect_float_eq(changed.before, 2.4, 1e-9);
  cr_expect_float_eq(changed.age_s, 2.0, 1e-9);
  const LimitChange expired =
      limit.OnAnswer(kNoLimit, kStart + seconds(5), kStart + seconds(6));
  cr_expect(expired.kind == LimitChange::Kind::kExpired);
  cr_expect(!limit.is_named());
}

Test(server_limit, an_answer_to_an_earlier_request_does_not_end_it) {
  ServerLimit limit;
  static_cast<void>(limit.OnAnswer(Limit(2.4), kStart, kStart + seconds(1)));
  const LimitChange change =
      limit.OnAnswer(kNoLimit, kStart + milliseconds(900), kStart + seconds(2));
  cr_expect(change.kind == LimitChange::Kind::kNone);
  cr_expect(limit.is_named());
}

Test(server_limit, an_unreadable_limit_changes_nothing) {
  ServerLimit limit;
  static_cast<void>(limit.OnAnswer(Limit(2.4), kStart, kStart + seconds(1)));
  const LimitChange change = limit.OnAnswer(
      {NamedLimit::State::kUnreadable, 0.0}, kStart, kStart + seconds(3));
  cr_expect(change.kind == LimitChange::Kind::kNone);
  cr_expect_float_eq(limit.rate(), 2.4, 1e-9);
}
