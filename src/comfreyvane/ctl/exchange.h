/// @file
/// Exchange of a request and an answer.
#ifndef COMFREYVANE_CTL_EXCHANGE_H_
#define COMFREYVANE_CTL_EXCHANGE_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <functional>

#include "comfreyvane/ctl/host_address.h"
#include "comfreyvane/ctl/http_reply.h"
#include "comfreyvane/ctl/http_request.h"

namespace comfreyvane::ctl {

/// Sends one request to one host and waits for the answer, at most for the
/// timeout. The error object is TransportError.
using Exchange = std::function<boost::leaf::result<HttpReply>(
    const HostAddress& host,
    const HttpRequest& request,
    std::chrono::milliseconds timeout)>;

/// Exchanges over HTTP/1.1, one connection a request.
[[nodiscard]] boost::leaf::result<HttpReply> ExchangeOverHttp(
    const HostAddress& host,
    const HttpRequest& request,
    std::chrono::milliseconds timeout);

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_EXCHANGE_H_
