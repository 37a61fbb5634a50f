/// @file
/// Names for Boost.Asio's coroutines as the shells use them.
#ifndef COMFREYVANE_NET_ASYNC_H_
#define COMFREYVANE_NET_ASYNC_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace comfreyvane {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Completion token of every asynchronous call: errors are results.
inline constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_ASYNC_H_
