#include "comfreyvane/gateway/carried_codec.h"

#include <boost/beast/core/string.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

#include "comfreyvane/gateway/parsed_object.h"
#include "comfreyvane/net/peer_authenticator.h"
#include "comfreyvane/net/request_checks.h"

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::string_view kStamp = "carried-request";

/// @return the text that the code is computed over: whatever changes on the way
///     between two hosts is left out.
std::string SignedText(const http::request_header<>& head,
                       std::string_view body) {
  std::string text(head.method_string());
  text.append(" ").append(head.target()).append("\n");
  for (const auto& field : head) {
    if (!IsEndToEnd(head, field) ||
        boost::beast::iequals(field.name_string(), kCarriedCodeField))
      continue;
    text.append(field.name_string()).append(":").append(field.value());
    text.append("\n");
  }
  return text.append("\n").append(body);
}

}  // namespace

std::string EncodeCarriedMark(const CarriedMark& mark) {
  return json::serialize(
      json::object{{"origin", mark.origin},
                   {"origin_incarnation", mark.origin_incarnation},
                   {"sequence", mark.sequence},
                   {"carrier", mark.carrier},
                   {"carrier_incarnation", mark.carrier_incarnation},
                   {"region", mark.region},
                   {"service", mark.service.value()},
                   {"attempts", mark.attempts}});
}

std::optional<CarriedMark> ParseCarriedMark(std::string_view text) {
  return ParsedObject<CarriedMark>(text, [](const json::object& object) {
    return CarriedMark{TextAt(object, "origin"),
                       NumberAt<std::uint64_t>(object, "origin_incarnation"),
                       NumberAt<std::uint64_t>(object, "sequence"),
                       TextAt(object, "carrier"),
                       NumberAt<std::uint64_t>(object, "carrier_incarnation"),
                       TextAt(object, "region"),
                       ServiceId(NumberAt<std::uint64_t>(object, "service")),
                       NumberAt<std::uint32_t>(object, "attempts")};
  });
}

std::string EncodeCarriedVerdict(const CarriedVerdict& verdict) {
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      verdict.retry_after);
  return json::serialize(
      json::object{{"run", static_cast<int>(verdict.run_state)},
                   {"reason", Name(verdict.reason)},
                   {"attempts", verdict.attempts},
                   {"retry_after_ms", wait.count()}});
}

std::optional<CarriedVerdict> ParseCarriedVerdict(std::string_view text) {
  return ParsedObject<CarriedVerdict>(text, [](const json::object& object) {
    CarriedVerdict verdict;
    switch (NumberAt<int>(object, "run")) {
      case static_cast<int>(RunState::kNotRun):
        verdict.run_state = RunState::kNotRun;
        break;
      case static_cast<int>(RunState::kRan):
        verdict.run_state = RunState::kRan;
        break;
      default:
        verdict.run_state = RunState::kUnknown;
        break;
    }
    const std::string reason = TextAt(object, "reason");
    for (std::size_t i = 0; i < kRefusalReasonCount; ++i) {
      const auto candidate = static_cast<RefusalReason>(i);
      if (Name(candidate) == reason)
        verdict.reason = candidate;
    }
    verdict.attempts = NumberAt<std::uint32_t>(object, "attempts");
    verdict.retry_after = std::chrono::milliseconds(
        NumberAt<std::uint32_t>(object, "retry_after_ms"));
    return verdict;
  });
}

std::string CarriedCodeOf(const http::request_header<>& head,
                          std::string_view body,
                          const std::string& secret) {
  return PeerAuthenticator(secret).Sign(kStamp, SignedText(head, body));
}

bool HasCarriedCode(const http::request_header<>& head,
                    std::string_view body,
                    const std::string& secret) {
  const auto code = head[kCarriedCodeField];
  return !secret.empty() && PeerAuthenticator(secret).Verify(
                                kStamp, SignedText(head, body),
                                std::string_view(code.data(), code.size()));
}

}  // namespace comfreyvane
