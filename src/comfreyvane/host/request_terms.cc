#include "comfreyvane/host/request_terms.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/url/pct_string_view.hpp>
#include <charconv>
#include <string>

#include "comfreyvane/net/header_names.h"

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr std::uint64_t kMostDeadlineMs = 24ULL * 3600 * 1000;

/// @return the one value of a field, empty without one, nothing if there are
/// several.
std::optional<std::string_view> OneValue(const http::request_header<>& head,
                                         std::string_view name) {
  const auto rows = head.equal_range(name);
  if (rows.first == rows.second)
    return std::string_view();
  if (std::next(rows.first) != rows.second)
    return std::nullopt;
  return std::string_view(rows.first->value());
}

bool IsIdempotentMethod(http::verb method) {
  return method == http::verb::get || method == http::verb::head ||
         method == http::verb::options;
}

std::optional<bool> ReadIdempotent(const http::request_header<>& head) {
  const auto value = OneValue(head, kIdempotentField);
  if (!value)
    return std::nullopt;
  if (value->empty())
    return IsIdempotentMethod(head.method());
  if (*value == "yes")
    return true;
  if (*value == "no")
    return false;
  return std::nullopt;
}

bool ReadDeadline(const http::request_header<>& head, RequestTerms& terms) {
  const auto value = OneValue(head, kDeadlineField);
  if (!value)
    return false;
  if (value->empty())
    return true;
  std::uint64_t milliseconds = 0;
  const char* const end = value->data() + value->size();
  const auto [stop, error] = std::from_chars(value->data(), end, milliseconds);
  if (error != std::errc() || stop != end || milliseconds == 0 ||
      milliseconds > kMostDeadlineMs)
    return false;
  terms.deadline = std::chrono::milliseconds(milliseconds);
  return true;
}

/// @return whether the target holds the key, percent-encoded or not.
bool HoldsKey(std::string_view target, std::string_view key) {
  const auto encoded = boost::urls::make_pct_string_view(target);
  if (encoded.has_error())
    return target.find(key) != std::string_view::npos;
  return encoded->decode().find(key) != std::string::npos;
}

}  // namespace

std::optional<RequestTerms> ReadRequestTerms(
    const http::request_header<>& head) {
  RequestTerms terms;
  const std::string_view target = head.target();
  const auto question = target.find('?');
  terms.path = target.substr(0, question);
  if (question != std::string_view::npos)
    terms.query = target.substr(question + 1);
  const auto key = OneValue(head, kKeyField);
  const auto ticket = OneValue(head, kTicketField);
  const auto idempotent = ReadIdempotent(head);
  if (!key || !ticket || !idempotent || !ReadDeadline(head, terms))
    return std::nullopt;
  // The target is passed on as it is, and with it would be the key.
  if (!key->empty() && HoldsKey(target, *key))
    return std::nullopt;
  terms.key = *key;
  terms.ticket = *ticket;
  terms.idempotent = *idempotent;
  // An interim answer would be the final one to HTTP/1.0 (RFC 9110 10.1.1).
  terms.expects_continue =
      head.version() >= kHttp11 &&
      boost::beast::iequals(head[http::field::expect], "100-continue");
  return terms;
}

}  // namespace comfreyvane
