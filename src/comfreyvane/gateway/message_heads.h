/// @file
/// Heads of messages between callers and backend servers.
#ifndef COMFREYVANE_GATEWAY_MESSAGE_HEADS_H_
#define COMFREYVANE_GATEWAY_MESSAGE_HEADS_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "comfreyvane/gateway/gateway_request.h"
#include "comfreyvane/gateway/header_dialect.h"
#include "comfreyvane/route/load_report.h"

namespace comfreyvane {

/// @param head of the caller's request.
/// @param server name of the backend server that it is for.
/// @param remaining time until its deadline.
/// @return the head to send: without the key and fields of one connection.
[[nodiscard]] boost::beast::http::request_header<> HeadToBackend(
    const boost::beast::http::request_header<>& head,
    const GatewayRequest& request,
    std::string_view server,
    Duration remaining,
    const HeaderDialect& names);

/// Copies the fields of a backend server's answer that concern its caller.
void CopyAnswerFields(const boost::beast::http::response_header<>& from,
                      boost::beast::http::response_header<>& to);

/// @return the load that an answer reports, if it does.
[[nodiscard]] std::optional<LoadReport> LoadOf(
    const boost::beast::http::response_header<>& head,
    const HeaderDialect& names);

/// @return the value of a cookie; empty without one.
[[nodiscard]] std::string_view CookieOf(
    const boost::beast::http::request_header<>& head,
    std::string_view name);

/// @return the key of "Authorization: Bearer KEY"; empty without one.
[[nodiscard]] std::string_view BearerKeyOf(
    const boost::beast::http::request_header<>& head);

/// @return the whole number of milliseconds in a field, if it is one.
[[nodiscard]] std::optional<Duration> MillisecondsOf(std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_MESSAGE_HEADS_H_
