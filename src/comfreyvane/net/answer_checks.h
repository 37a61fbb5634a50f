/// @file
/// Checks of an answer's head beyond those of the HTTP parser.
#ifndef COMFREYVANE_NET_ANSWER_CHECKS_H_
#define COMFREYVANE_NET_ANSWER_CHECKS_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace comfreyvane {

/// Checks status and body framing. A coding other than "chunked" would reach
/// the caller without the field that names it, and a change of protocol has
/// not been asked for.
/// @return whether it is the head of an answer, an interim one included.
[[nodiscard]] bool IsAnswerHead(
    const boost::beast::http::response_header<>& head);

/// @return whether another answer to the same request follows.
[[nodiscard]] bool IsInterim(const boost::beast::http::response_header<>& head);

/// @return whether an answer with this status has neither a body nor a field
///     that frames one, by RFC 9110 8.6 and 15.3.5.
[[nodiscard]] bool HasNoBody(unsigned status);

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_ANSWER_CHECKS_H_
