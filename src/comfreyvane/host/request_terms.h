/// @file
/// What a caller's request head says to the system.
#ifndef COMFREYVANE_HOST_REQUEST_TERMS_H_
#define COMFREYVANE_HOST_REQUEST_TERMS_H_

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string_view>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// What a request head says to the system. Views into the head.
struct RequestTerms {
  std::string_view path;    ///< Target without its query.
  std::string_view query;   ///< Without the question mark.
  std::string_view key;     ///< Empty: none was sent.
  std::string_view ticket;  ///< Empty: none was sent.
  bool idempotent = false;
  bool expects_continue = false;
  std::optional<Duration> deadline;

  friend bool operator==(const RequestTerms&, const RequestTerms&) = default;
};

/// @return the terms, or nothing if a field of the system is ill-formed or
/// comes twice, or if the target holds the key.
[[nodiscard]] std::optional<RequestTerms> ReadRequestTerms(
    const boost::beast::http::request_header<>& head);

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_REQUEST_TERMS_H_
