#include "comfreyvane/host/forwarded_head.h"

#include <boost/beast/core/string.hpp>
#include <string>

#include "comfreyvane/net/header_names.h"
#include "comfreyvane/net/request_checks.h"

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp10 = 10;
constexpr unsigned kHttp11 = 11;

bool IsOwnField(std::string_view name) {
  return name.size() >= kOwnFieldPrefix.size() &&
         boost::beast::iequals(name.substr(0, kOwnFieldPrefix.size()),
                               kOwnFieldPrefix);
}

bool HoldsKey(std::string_view value, std::string_view key) {
  return !key.empty() && value.find(key) != std::string_view::npos;
}

template <typename Header>
void CopyFields(const http::fields& from, std::string_view key, Header& to) {
  for (const auto& field : from) {
    const bool passes =
        !IsHopByHop(from, field) && !IsOwnField(field.name_string()) &&
        field.name() != http::field::content_length &&
        field.name() != http::field::expect && !HoldsKey(field.value(), key) &&
        !HoldsKey(field.name_string(), key);
    if (passes)
      to.insert(field.name(), field.name_string(), field.value());
  }
}

template <typename Header>
void SetFraming(const BodyFraming& framing, Header& header) {
  if (framing.chunked)
    header.set(http::field::transfer_encoding, "chunked");
  else if (framing.content_length)
    header.set(http::field::content_length,
               std::to_string(*framing.content_length));
}

void AppendForwardedFor(std::string_view address,
                        http::request_header<>& header) {
  constexpr std::string_view kForwardedFor = "X-Forwarded-For";
  std::string value;
  const auto earlier = header.equal_range(kForwardedFor);
  for (auto row = earlier.first; row != earlier.second; ++row)
    value.append(row->value()).append(", ");
  value.append(address);
  header.set(kForwardedFor, value);
}

}  // namespace

http::request_header<> HeadForBackend(const http::request_header<>& head,
                                      const BodyFraming& framing,
                                      std::string_view key,
                                      const RequestAdditions& additions) {
  http::request_header<> result;
  result.version(kHttp11);
  result.method(head.method());
  result.target(head.target());
  CopyFields(head, key, result);
  SetFraming(framing, result);
  AppendForwardedFor(additions.caller_address, result);
  result.set(kRequestIdField, additions.request_id);
  if (!additions.workspace.empty())
    result.set(kWorkspaceField, additions.workspace);
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      additions.remaining);
  result.set(kDeadlineField, std::to_string(remaining.count()));
  return result;
}

http::response_header<> HeadForCaller(const http::response_header<>& head,
                                      const BodyFraming& framing,
                                      const AnswerAdditions& additions) {
  http::response_header<> result;
  result.version(additions.version);
  result.result(head.result_int());
  result.reason(head.reason());
  CopyFields(head, {}, result);
  // A caller of HTTP/1.0 knows no chunks; for it the close ends the body, and
  // a broken answer is reset.
  const bool closes_body = framing.chunked && additions.version == kHttp10;
  if (!closes_body)
    SetFraming(framing, result);
  result.set(kRequestIdField, additions.request_id);
  result.set(kHostField, additions.host);
  result.set(kBackendServerField, additions.backend_server);
  if (!additions.keep_alive || closes_body)
    result.set(http::field::connection, "close");
  else if (additions.version == kHttp10)
    result.set(http::field::connection, "keep-alive");
  return result;
}

}  // namespace comfreyvane
