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
#include "comfreyvane/gateway/header_names.h"
#include "comfreyvane/route/load_report.h"

namespace comfreyvane {

/// @param head head of the caller's request.
/// @param server name of the receiving backend server.
/// @param remaining time until the request's deadline.
/// @return the head to send, without the caller's key and hop-by-hop fields.
[[nodiscard]] boost::beast::http::request_header<> HeadToBackend(
    const boost::beast::http::request_header<>& head,
    const GatewayRequest& request,
    std::string_view server,
    Duration remaining,
    const HeaderNames& names);

/// @param remaining time until the request's deadline.
/// @return the head to send to a host that carries the request, without mark:
///     as the caller sent it, but for the deadline and hop-by-hop fields.
[[nodiscard]] boost::beast::http::request_header<> HeadToCarrier(
    const boost::beast::http::request_header<>& head,
    const GatewayRequest& request,
    Duration remaining,
    const HeaderNames& names);

/// Copies the fields of a backend server's answer, except framing and
/// hop-by-hop fields.
void CopyAnswerFields(const boost::beast::http::response_header<>& from,
                      boost::beast::http::response_header<>& to);

/// @return the load reported by an answer; nothing if it is missing or invalid.
[[nodiscard]] std::optional<LoadReport> LoadOf(
    const boost::beast::http::response_header<>& head,
    const HeaderNames& names);

/// @return the value of a cookie; empty if it is missing.
[[nodiscard]] std::string_view CookieOf(
    const boost::beast::http::request_header<>& head,
    std::string_view name);

/// @return the key of "Authorization: Bearer KEY"; empty if it is missing.
[[nodiscard]] std::string_view BearerKeyOf(
    const boost::beast::http::request_header<>& head);

/// Parses an integral number of milliseconds; values above one hour are
/// reduced to it.
/// @return nothing if the text is not a non-negative integer.
[[nodiscard]] std::optional<Duration> MillisecondsOf(std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_MESSAGE_HEADS_H_
