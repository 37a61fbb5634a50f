#include "comfreyvane/net/answer_checks.h"

#include <boost/beast/core/string.hpp>

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kNoContent = 204;
constexpr unsigned kHttp11 = 11;

}  // namespace

bool IsAnswerHead(const http::response_header<>& head) {
  // By number: the library has no name for some, such as 103.
  const unsigned status = head.result_int();
  if (status < kFirstStatus || status > kLastStatus ||
      status == kSwitchingProtocols)
    return false;
  const auto codings = head.count(http::field::transfer_encoding);
  return codings == 0 ||
         (codings == 1 && head.version() >= kHttp11 &&
          boost::beast::iequals(head.at(http::field::transfer_encoding),
                                "chunked"));
}

bool IsInterim(const http::response_header<>& head) {
  return head.result_int() / kFirstStatus == 1;
}

bool HasNoBody(unsigned status) {
  return status / kFirstStatus == 1 || status == kNoContent;
}

}  // namespace comfreyvane
