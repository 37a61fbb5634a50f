#include "comfreyvane/edge/server_limit.h"

#include <array>
#include <cmath>
#include <deque>
#include <utility>

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr NamedLimit kNoLimit{};

int Sent(ServerLimit& limit, TimePoint now) {
  int sent = 0;
  while (limit.TrySend(now))
    ++sent;
  return sent;
}

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
  cr_expect(std::abs(learned.rate - 2.4) < 1e-9);
  cr_expect(limit.OnAnswer(Limit(2.4), kStart, kStart + seconds(2)).kind ==
            LimitChange::Kind::kNone);
  const LimitChange changed =
      limit.OnAnswer(Limit(5), kStart, kStart + seconds(4));
  cr_expect(changed.kind == LimitChange::Kind::kChanged);
  cr_expect(std::abs(changed.before - 2.4) < 1e-9);
  cr_expect(changed.age == seconds(2));
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
  cr_expect(std::abs(limit.rate() - 2.4) < 1e-9);
}

Test(server_limit, a_sender_gets_its_part_without_a_burst) {
  ServerLimit limit;
  static_cast<void>(limit.OnAnswer(Limit(2), kStart, kStart));
  limit.SetRank({.rank = 0, .hosts = 8}, kStart);
  // Six senders share the limit.
  cr_expect(std::abs(limit.own_rate() - 2.0 / 6) < 1e-9);
  cr_expect_eq(Sent(limit, kStart), 0);
  cr_expect(limit.TimeUntilSend(kStart) == seconds(3));
  cr_expect_eq(Sent(limit, kStart + milliseconds(3001)), 1);
  cr_expect_eq(Sent(limit, kStart + seconds(60)), 1);
}

Test(server_limit, hosts_after_the_senders_send_nothing) {
  ServerLimit limit;
  static_cast<void>(limit.OnAnswer(Limit(2), kStart, kStart));
  limit.SetRank({.rank = 6, .hosts = 8}, kStart);
  cr_expect_eq(Sent(limit, kStart + seconds(9)), 0);
  cr_expect(limit.TimeUntilSend(kStart) == Duration::max());
}

Test(server_limit, a_host_that_is_no_longer_a_sender_keeps_no_token) {
  ServerLimit limit;
  static_cast<void>(limit.OnAnswer(Limit(10), kStart, kStart));
  limit.SetRank({.rank = 15, .hosts = 60}, kStart);
  cr_expect(limit.CanSend(kStart + seconds(5)));
  static_cast<void>(limit.OnAnswer(Limit(2), kStart, kStart + seconds(5)));
  cr_expect(!limit.CanSend(kStart + seconds(5)));
  limit.SetRank({.rank = 0, .hosts = 60}, kStart + seconds(6));
  cr_expect(!limit.CanSend(kStart + seconds(6)));
}

Test(server_limit, silence_lets_the_next_hosts_ask_one_after_the_other) {
  ServerLimit limit;
  static_cast<void>(limit.OnAnswer(Limit(2), kStart, kStart));
  limit.SetRank({.rank = 7, .hosts = 60}, kStart);
  cr_expect(!limit.CanSend(kStart + milliseconds(19999)));
  cr_expect_eq(Sent(limit, kStart + seconds(20)), 1);
  cr_expect(!limit.CanSend(kStart + seconds(39)));
  static_cast<void>(
      limit.OnAnswer(Limit(2), kStart + seconds(20), kStart + seconds(21)));
  cr_expect(!limit.CanSend(kStart + seconds(40)));
}

Test(server_limit, a_limit_of_zero_lets_single_requests_through) {
  ServerLimit limit;
  static_cast<void>(limit.OnAnswer(Limit(0), kStart, kStart));
  limit.SetRank({.rank = 0, .hosts = 8}, kStart);
  cr_expect(!limit.CanSend(kStart + seconds(59)));
  cr_expect_eq(Sent(limit, kStart + seconds(60)), 1);
}

Test(server_limit, senders_wait_for_ever_under_a_limit_close_to_zero) {
  for (const std::size_t rank : {0U, 1U}) {
    ServerLimit limit;
    static_cast<void>(limit.OnAnswer(Limit(1e-9), kStart, kStart));
    limit.SetRank({.rank = rank, .hosts = 2}, kStart);
    const TimePoint due = kStart + seconds(60) * (rank + 1);
    cr_expect(!limit.CanSend(due - milliseconds(1)));
    cr_expect_eq(Sent(limit, due), 1);
  }
}

Test(server_limit, reports_of_peers_count_if_they_are_newer) {
  ServerLimit limit;
  const auto report = [](std::optional<double> rate, Duration age) {
    return LimitReport{.rate = rate, .age = age};
  };
  cr_expect(limit.OnReport(report(2.4, seconds(1)), kStart).kind ==
            LimitChange::Kind::kLearned);
  cr_expect(limit.OnReport(report(std::nullopt, seconds(2)), kStart).kind ==
            LimitChange::Kind::kNone);
  cr_expect(limit.is_named());
  static_cast<void>(limit.OnAnswer(kNoLimit, kStart, kStart + seconds(1)));
  cr_expect(!limit.is_named());
  cr_expect(limit.OnReport(report(2.4, seconds(2)), kStart + seconds(2)).kind ==
            LimitChange::Kind::kNone);
  cr_expect(!limit.is_named());
}

Test(server_limit, the_first_hosts_report_it_and_its_end) {
  ServerLimit limit;
  limit.SetRank({.rank = 1, .hosts = 8}, kStart);
  cr_expect(!limit.IsReporter(kStart));
  static_cast<void>(limit.OnAnswer(Limit(2), kStart, kStart));
  cr_expect(limit.IsReporter(kStart + seconds(30)));
  cr_expect(limit.Report(kStart + seconds(30)).age == seconds(30));
  cr_expect(limit.IsNews(kStart + seconds(1)));
  cr_expect(!limit.IsNews(kStart + seconds(3)));
  static_cast<void>(
      limit.OnAnswer(kNoLimit, kStart + seconds(30), kStart + seconds(31)));
  cr_expect(!limit.Report(kStart + seconds(32)).rate.has_value());
  cr_expect(limit.IsReporter(kStart + seconds(40)));
  cr_expect(!limit.IsReporter(kStart + seconds(42)));
}

Test(server_limit, its_end_is_reported_only_by_the_first_hosts) {
  for (const bool is_reported : {false, true}) {
    ServerLimit limit;
    limit.SetRank({.rank = 7, .hosts = 8}, kStart);
    static_cast<void>(limit.OnAnswer(Limit(0.3), kStart, kStart));
    const TimePoint ended = kStart + seconds(60);
    static_cast<void>(limit.OnAnswer(kNoLimit, ended - seconds(1), ended));
    if (is_reported)
      static_cast<void>(limit.OnReport({}, ended + seconds(1)));
    cr_expect(!limit.IsReporter(ended + seconds(1)), "the first are told");
    cr_expect(limit.IsReporter(ended + seconds(2)) == !is_reported);
    cr_expect(!limit.IsReporter(ended + seconds(10)));
  }
}

Test(server_limit, two_hosts_keep_what_they_report_to_each_other_young) {
  for (const Duration transit :
       {milliseconds(10), milliseconds(100), milliseconds(250)}) {
    std::array<ServerLimit, 2> limits;
    std::array<std::deque<std::pair<TimePoint, LimitReport>>, 2> under_way;
    for (std::size_t i = 0; i < limits.size(); ++i) {
      limits[i].SetRank({.rank = i, .hosts = 2}, kStart);
      static_cast<void>(limits[i].OnAnswer(Limit(0), kStart, kStart));
    }
    for (int step = 1; step < 6000; ++step) {
      const TimePoint now = kStart + milliseconds(10) * step;
      for (std::size_t i = 0; i < limits.size(); ++i) {
        while (!under_way[i].empty() && under_way[i].front().first <= now) {
          static_cast<void>(
              limits[i].OnReport(under_way[i].front().second, now));
          under_way[i].pop_front();
        }
        if ((step + 25 * i) % 50 == 0)
          under_way[1 - i].emplace_back(now + transit, limits[i].Report(now));
        cr_expect(!limits[i].CanSend(now));
      }
    }
    cr_expect(limits[0].CanSend(kStart + seconds(60)));
  }
}
