/// @file
/// Checks of a caller's request head beyond those of the HTTP parser.
#ifndef COMFREYVANE_NET_REQUEST_CHECKS_H_
#define COMFREYVANE_NET_REQUEST_CHECKS_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string_view>

#include "comfreyvane/base/refusal_reason.h"

namespace comfreyvane {

/// Checks what the parser would repair in silence: folded fields, bare line
/// feeds and control characters, which let two readers of one request differ.
/// @param raw the head as received, through its final empty line.
/// @return the reason to refuse it, if any.
[[nodiscard]] std::optional<RefusalReason> CheckRawHead(std::string_view raw);

/// Checks method, version, Host and body framing.
/// @return the reason to refuse it, if any.
[[nodiscard]] std::optional<RefusalReason> CheckHead(
    const boost::beast::http::request_header<>& head);

/// @return whether the field is about one connection only, by RFC 9110 7.6.1,
/// or listed by the message's own Connection field.
[[nodiscard]] bool IsHopByHop(
    const boost::beast::http::fields& fields,
    const boost::beast::http::fields::value_type& field);

/// @return whether a field is passed on as it is, since it concerns neither one
///     connection nor the framing of the body.
[[nodiscard]] bool IsEndToEnd(
    const boost::beast::http::fields& fields,
    const boost::beast::http::fields::value_type& field);

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_REQUEST_CHECKS_H_
