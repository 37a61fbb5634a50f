/// @file
/// A small HTTP request to the platform or to a peer.
#ifndef COMFREYVANE_NET_HTTP_CALL_H_
#define COMFREYVANE_NET_HTTP_CALL_H_

#include <boost/beast/http/verb.hpp>
#include <string>
#include <vector>

namespace comfreyvane {

/// One field of a message.
struct HttpField {
  std::string name;
  std::string value;

  friend bool operator==(const HttpField&, const HttpField&) = default;
};

/// A request whose body is held in memory.
struct HttpCall {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target;
  std::string body;
  std::vector<HttpField> fields;
  std::string wanted_field{};  ///< Of the answer; empty: none.

  friend bool operator==(const HttpCall&, const HttpCall&) = default;
};

/// How a call ended.
enum class HttpCallStatus {
  kAnswered,    ///< An answer came whole.
  kNotReached,  ///< No connection; nothing was sent.
  kNoAnswer,    ///< It may have been received.
};

/// Result of a call.
struct HttpCallResult {
  HttpCallStatus status = HttpCallStatus::kNotReached;
  unsigned http_status = 0;
  std::string body;
  std::string wanted_field{};  ///< Its value; empty if the answer lacks it.

  friend bool operator==(const HttpCallResult&,
                         const HttpCallResult&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_HTTP_CALL_H_
