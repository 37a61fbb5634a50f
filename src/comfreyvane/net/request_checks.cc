#include "comfreyvane/net/request_checks.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/verb.hpp>

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;

constexpr char kFirstPrintable = 0x20;
constexpr char kDelete = 0x7f;
constexpr unsigned kHttp11 = 11;

bool IsControl(char c) {
  const auto code = static_cast<unsigned char>(c);
  return code < kFirstPrintable || code == kDelete;
}

bool LineIsClean(std::string_view line) {
  return std::none_of(line.begin(), line.end(),
                      [](char c) { return IsControl(c) && c != '\t'; });
}

bool IsFolded(std::string_view line) {
  return !line.empty() && (line.front() == ' ' || line.front() == '\t');
}

bool IsVisibleAscii(char c) {
  return c > kFirstPrintable && c < kDelete;
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool MethodIsServed(http::verb method) {
  switch (method) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::options:
    case http::verb::post:
    case http::verb::put:
    case http::verb::patch:
    case http::verb::delete_:
      return true;
    default:
      return false;
  }
}

bool HasOneHost(const http::request_header<>& head) {
  const auto hosts = head.count(http::field::host);
  return hosts == 1 || (hosts == 0 && head.version() < kHttp11);
}

bool FramingIsClear(const http::request_header<>& head) {
  const auto lengths = head.count(http::field::content_length);
  const auto codings = head.count(http::field::transfer_encoding);
  if (lengths + codings > 1)
    return false;
  // The parser takes a list of equal lengths for one length.
  if (lengths == 1 &&
      !std::ranges::all_of(head.at(http::field::content_length), IsDigit))
    return false;
  // HTTP/1.0 has no codings: a reader of that version takes the chunks for the
  // next request.
  return codings == 0 ||
         (head.version() >= kHttp11 &&
          iequals(head.at(http::field::transfer_encoding), "chunked"));
}

bool TargetIsPath(std::string_view target) {
  return !target.empty() && target.front() == '/' &&
         std::ranges::all_of(target, IsVisibleAscii) &&
         target.find('#') == std::string_view::npos;
}

}  // namespace

std::optional<RefusalReason> CheckRawHead(std::string_view raw) {
  constexpr std::string_view kLineEnd = "\r\n";
  bool first = true;
  while (!raw.empty()) {
    const auto end = raw.find(kLineEnd);
    if (end == std::string_view::npos)
      return RefusalReason::kMalformedRequest;
    const std::string_view line = raw.substr(0, end);
    if (!LineIsClean(line) || IsFolded(line))
      return RefusalReason::kMalformedRequest;
    if (first && line.empty())
      return RefusalReason::kMalformedRequest;
    first = false;
    raw.remove_prefix(end + kLineEnd.size());
  }
  return std::nullopt;
}

std::optional<RefusalReason> CheckHead(const http::request_header<>& head) {
  const bool version_known = head.version() == 10 || head.version() == 11;
  if (!version_known || !MethodIsServed(head.method()) || !HasOneHost(head) ||
      !FramingIsClear(head) || !TargetIsPath(head.target()))
    return RefusalReason::kMalformedRequest;
  return std::nullopt;
}

bool IsHopByHop(const http::fields& fields,
                const http::fields::value_type& field) {
  switch (field.name()) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
      return true;
    default:
      break;
  }
  const auto listed = fields.equal_range(http::field::connection);
  return std::any_of(listed.first, listed.second, [&field](const auto& row) {
    return http::token_list(row.value()).exists(field.name_string());
  });
}

bool IsEndToEnd(const http::fields& fields,
                const http::fields::value_type& field) {
  return field.name() != http::field::content_length &&
         !IsHopByHop(fields, field);
}

}  // namespace comfreyvane
