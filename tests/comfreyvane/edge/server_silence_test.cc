#include "comfreyvane/edge/server_silence.h"

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr ServerLoad kBusy{.is_busy = true, .wait = milliseconds(500)};

}  // namespace

Test(server_silence, a_probe_of_an_idle_server_is_soon_overdue) {
  ServerSilence silence;
  silence.OnSent({}, kStart);
  cr_expect(!silence.IsOverdue(TimePoint{}, kStart + milliseconds(249)));
  cr_expect(silence.IsOverdue(TimePoint{}, kStart + milliseconds(250)));
  cr_expect(silence.IsQuiet(TimePoint{}, kStart + milliseconds(250)));
}

Test(server_silence,
     a_request_that_takes_long_is_not_overdue_while_it_may_run) {
  ServerSilence silence;
  silence.OnSent({.work = seconds(1)}, kStart);
  cr_expect(silence.IsQuiet(TimePoint{}, kStart + milliseconds(300)));
  cr_expect(!silence.IsOverdue(TimePoint{}, kStart + milliseconds(1900)));
  cr_expect(silence.IsOverdue(TimePoint{}, kStart + seconds(2)));
}

Test(server_silence, probes_and_requests_at_a_busy_server_wait_for_slots) {
  ServerSilence silence;
  silence.OnSent({.load = kBusy}, kStart);
  silence.OnSent({.work = seconds(1), .load = kBusy}, kStart);
  cr_expect(!silence.IsOverdue(TimePoint{}, kStart + seconds(2)));
  cr_expect(silence.IsOverdue(TimePoint{}, kStart + milliseconds(2250)));
}

Test(server_silence, load_that_is_reported_later_counts_too) {
  ServerSilence silence;
  silence.OnSent({}, kStart);
  silence.SetLoad(kBusy);
  cr_expect(!silence.IsOverdue(TimePoint{}, kStart + seconds(1)));
  cr_expect(silence.is_busy());
}

Test(server_silence, no_load_excuses_a_silence_for_ever) {
  ServerSilence silence;
  silence.OnSent({.load = {true, std::chrono::hours(1)}}, kStart);
  cr_expect(silence.IsOverdue(TimePoint{}, kStart + seconds(5)));
}

Test(server_silence, an_answer_shows_that_the_server_works) {
  ServerSilence silence;
  silence.OnSent({.work = seconds(1)}, kStart);
  silence.OnSent({.work = seconds(1)}, kStart + seconds(1));
  silence.OnAnswered(kStart + milliseconds(1900));
  cr_expect(silence.OnEnded(kStart + seconds(1)));
  cr_expect(silence.running() == 1U);
  cr_expect(!silence.IsOverdue(TimePoint{}, kStart + milliseconds(3800)));
  cr_expect(silence.IsOverdue(TimePoint{}, kStart + milliseconds(3900)));
}

Test(server_silence, a_pause_of_the_host_does_not_count) {
  ServerSilence silence;
  silence.OnSent({}, kStart);
  const TimePoint resumed = kStart + seconds(9);
  cr_expect(!silence.IsOverdue(resumed, resumed + milliseconds(200)));
  cr_expect(!silence.IsQuiet(resumed, resumed + milliseconds(200)));
}

Test(server_silence, each_request_is_judged_alone) {
  ServerSilence silence;
  silence.OnSent({.work = seconds(1)}, kStart);
  silence.OnSent({}, kStart + milliseconds(500));
  const TimePoint now = kStart + seconds(1);
  cr_expect(silence.IsOverdue(TimePoint{}, now));
  cr_expect(silence.IsOverdue(kStart + milliseconds(500), TimePoint{}, now));
  cr_expect(!silence.IsOverdue(kStart, TimePoint{}, now));
  cr_expect(!silence.IsOverdue(kStart + seconds(7), TimePoint{}, now),
            "nothing was sent then");
}

Test(server_silence, what_has_ended_is_forgotten) {
  ServerSilence silence;
  cr_expect(!silence.OnEnded(std::nullopt));
  silence.OnSent({}, kStart);
  cr_expect(silence.OnEnded(std::nullopt));
  cr_expect(silence.running() == 0U);
  cr_expect(!silence.IsOverdue(TimePoint{}, kStart + seconds(9)));
  cr_expect(!silence.IsQuiet(TimePoint{}, kStart + seconds(9)));
}
