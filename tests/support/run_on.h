/// @file
/// Runs a function on the thread of stand-ins.
#ifndef TESTS_SUPPORT_RUN_ON_H_
#define TESTS_SUPPORT_RUN_ON_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <future>

namespace comfreyvane::testing {

/// Runs a function on the thread of an event loop and waits for it.
inline void RunOn(boost::asio::io_context& io,
                  const std::function<void()>& function) {
  std::promise<void> done;
  boost::asio::post(io, [&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_RUN_ON_H_
