#include "comfreyvane/net/timeout_sweeper.h"

#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/watchdog.h"

namespace comfreyvane {
namespace {

constexpr auto kSweepInterval = std::chrono::milliseconds(20);

}  // namespace

TimeoutSweeper::TimeoutSweeper(boost::asio::io_context& io) : timer_(io) {}

void TimeoutSweeper::Start() {
  stopped_ = false;
  Wait();
}

void TimeoutSweeper::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void TimeoutSweeper::Wait() {
  timer_.expires_after(kSweepInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || stopped_)
      return;
    Sweep(MonotonicNow());
    Wait();
  });
}

void TimeoutSweeper::Sweep(TimePoint now) {
  // A fired watchdog only cancels operations, whose handlers run later, so
  // the list does not change under the loop.
  for (Watchdog* watchdog : *watchdogs_)
    watchdog->FireIfDue(now);
}

}  // namespace comfreyvane
