/// @file
/// Heads of forwarded messages.
#ifndef COMFREYVANE_HOST_FORWARDED_HEAD_H_
#define COMFREYVANE_HOST_FORWARDED_HEAD_H_

#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string_view>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// What the system adds to a request for a backend server.
struct RequestAdditions {
  std::string_view request_id;
  std::string_view workspace;  ///< Empty on open routes without a key.
  std::string_view caller_address;
  Duration remaining{0};  ///< Until the deadline.
};

/// How a message's body is framed.
struct BodyFraming {
  std::optional<std::uint64_t> content_length;
  bool chunked = false;
};

/// @param key what the caller sent as its key; no field that holds it is
/// passed on.
/// @return the head that goes to the backend server: without hop-by-hop fields
/// and fields of the system, framed anew.
[[nodiscard]] boost::beast::http::request_header<> HeadForBackend(
    const boost::beast::http::request_header<>& head,
    const BodyFraming& framing,
    std::string_view key,
    const RequestAdditions& additions);

/// What the system adds to an answer for a caller.
struct AnswerAdditions {
  std::string_view request_id;
  std::string_view host;
  std::string_view backend_server;
  bool keep_alive = true;
  unsigned version = 11;  ///< Of the caller's request.
};

/// @return the head that goes to the caller.
[[nodiscard]] boost::beast::http::response_header<> HeadForCaller(
    const boost::beast::http::response_header<>& head,
    const BodyFraming& framing,
    const AnswerAdditions& additions);

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_FORWARDED_HEAD_H_
