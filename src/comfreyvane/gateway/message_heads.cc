#include "comfreyvane/gateway/message_heads.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <chrono>

#include "comfreyvane/base/number_of.h"
#include "comfreyvane/gateway/carried_codec.h"
#include "comfreyvane/net/request_checks.h"

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr std::string_view kBearer = "Bearer ";

/// Upper bound on the wait time sent by a caller.
constexpr Duration kMaxCallerTimeout = std::chrono::hours(1);

bool Equals(std::string_view a, std::string_view b) {
  return boost::beast::iequals(a, b);
}

/// @return whether only hosts send the field, to each other.
bool IsOfHosts(std::string_view name) {
  return Equals(name, kCarriedMarkField) ||
         Equals(name, kCarriedVersionField) ||
         Equals(name, kCarriedVerdictField) || Equals(name, kCarriedCodeField);
}

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// @param is_dropped whether a field of the caller is left out.
/// @return the head that any next hop gets, without a deadline.
template <typename IsDropped>
http::request_header<> ForwardedHead(const http::request_header<>& head,
                                     const GatewayRequest& request,
                                     const HeaderNames& names,
                                     IsDropped is_dropped) {
  http::request_header<> result;
  result.version(kHttp11);
  result.method_string(head.method_string());
  result.target(head.target());
  for (const auto& field : head) {
    const std::string_view name = View(field.name_string());
    const bool is_replaced = Equals(name, names.deadline_ms) ||
                             field.name() == http::field::expect ||
                             IsOfHosts(name);
    if (!is_replaced && IsEndToEnd(head, field) && !is_dropped(field))
      result.insert(field.name(), field.name_string(), field.value());
  }
  const bool had_body = head.count(http::field::content_length) > 0 ||
                        head.count(http::field::transfer_encoding) > 0;
  if (had_body || !request.body.empty())
    result.set(http::field::content_length,
               std::to_string(request.body.size()));
  return result;
}

std::string MillisecondsText(Duration span) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(span);
  return std::to_string(std::max<std::int64_t>(1, milliseconds.count()));
}

/// Removes the text up to and including a separator.
/// @return the removed text without the separator.
std::string_view SplitOff(std::string_view& text, char separator) {
  const auto end = std::min(text.find(separator), text.size());
  const std::string_view token = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return token;
}

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ')
    text.remove_suffix(1);
  return text;
}

}  // namespace

http::request_header<> HeadToBackend(const http::request_header<>& head,
                                     const GatewayRequest& request,
                                     std::string_view server,
                                     Duration remaining,
                                     const HeaderNames& names) {
  const auto is_dropped = [&](const http::fields::value_type& field) {
    const std::string_view name = View(field.name_string());
    const bool holds_key =
        !request.key.empty() &&
        View(field.value()).find(request.key) != std::string_view::npos;
    return holds_key || Equals(name, names.workspace) ||
           Equals(name, names.expected_server) ||
           field.name() == http::field::authorization;
  };
  http::request_header<> result =
      ForwardedHead(head, request, names, is_dropped);
  if (request.workspace != nullptr)
    result.set(names.workspace, request.workspace->name);
  result.set(names.expected_server, server);
  result.set(names.deadline_ms, MillisecondsText(remaining));
  return result;
}

http::request_header<> HeadToCarrier(const http::request_header<>& head,
                                     const GatewayRequest& request,
                                     Duration remaining,
                                     const HeaderNames& names) {
  http::request_header<> result =
      ForwardedHead(head, request, names,
                    [](const http::fields::value_type&) { return false; });
  result.set(names.deadline_ms, MillisecondsText(remaining));
  return result;
}

void CopyAnswerFields(const http::response_header<>& from,
                      http::response_header<>& to) {
  for (const auto& field : from) {
    if (IsEndToEnd(from, field))
      to.insert(field.name(), field.name_string(), field.value());
  }
}

std::optional<LoadReport> LoadOf(const http::response_header<>& head,
                                 const HeaderNames& names) {
  const auto found = head.find(names.load);
  if (found == head.end())
    return std::nullopt;
  std::string_view text(found->value().data(), found->value().size());
  const auto running = NumberOf<std::uint32_t>(Trimmed(SplitOff(text, ',')));
  const auto waiting = NumberOf<std::uint32_t>(Trimmed(SplitOff(text, ',')));
  if (!running || !waiting)
    return std::nullopt;
  return LoadReport{*running, *waiting, false};
}

std::string_view CookieOf(const http::request_header<>& head,
                          std::string_view name) {
  const auto range = head.equal_range(http::field::cookie);
  for (auto row = range.first; row != range.second; ++row) {
    std::string_view text(row->value().data(), row->value().size());
    while (!text.empty()) {
      std::string_view pair = Trimmed(SplitOff(text, ';'));
      if (SplitOff(pair, '=') == name)
        return pair;
    }
  }
  return {};
}

std::string_view BearerKeyOf(const http::request_header<>& head) {
  const auto field = head[http::field::authorization];
  const std::string_view text(field.data(), field.size());
  if (text.size() <= kBearer.size() ||
      !Equals(text.substr(0, kBearer.size()), kBearer))
    return {};
  return Trimmed(text.substr(kBearer.size()));
}

std::optional<Duration> MillisecondsOf(std::string_view text) {
  const auto value = NumberOf<std::int64_t>(Trimmed(text));
  if (!value || *value < 0)
    return std::nullopt;
  return std::min<Duration>(kMaxCallerTimeout,
                            std::chrono::milliseconds(std::min<std::int64_t>(
                                *value, std::int64_t{1} << 40)));
}

}  // namespace comfreyvane
