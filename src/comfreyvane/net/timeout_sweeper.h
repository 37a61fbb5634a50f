/// @file
/// Timeouts of many connections by one timer.
#ifndef COMFREYVANE_NET_TIMEOUT_SWEEPER_H_
#define COMFREYVANE_NET_TIMEOUT_SWEEPER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "comfreyvane/base/time.h"
#include "comfreyvane/net/fwd.h"

namespace comfreyvane {

/// Fires the watchdogs of one thread. All use is from that thread.
class TimeoutSweeper {
 public:
  explicit TimeoutSweeper(boost::asio::io_context& io);
  TimeoutSweeper(const TimeoutSweeper&) = delete;
  TimeoutSweeper& operator=(const TimeoutSweeper&) = delete;

  /// Begins to sweep; ends when the io_context stops or Stop is called.
  void Start();
  void Stop();

 private:
  friend class Watchdog;
  void Wait();
  void Sweep(TimePoint now);

  boost::asio::steady_timer timer_;
  std::shared_ptr<std::list<Watchdog*>> watchdogs_ =
      std::make_shared<std::list<Watchdog*>>();
  bool stopped_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_TIMEOUT_SWEEPER_H_
