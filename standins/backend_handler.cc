#include "standins/backend_handler.h"

#include <boost/url/parse.hpp>
#include <cstdlib>
#include <utility>

namespace comfreyvane::standin {
namespace {

std::uint64_t NumberOf(std::string_view text) {
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

}  // namespace

BackendOrder OrderOf(std::string_view target) {
  BackendOrder order;
  const auto url = boost::urls::parse_origin_form(target);
  if (!url)
    return order;
  for (const auto& param : url->params()) {
    const auto number = static_cast<std::uint32_t>(NumberOf(param.value));
    if (param.key == "sleep_ms")
      order.sleep_ms = number;
    else if (param.key == "status" && number >= 200 && number < 600)
      order.status = number;
    else if (param.key == "bytes")
      order.bytes = NumberOf(param.value);
    else if (param.key == "chunked")
      order.chunked = true;
    else if (param.key == "break")
      order.break_answer = true;
    else if (param.key == "drop")
      order.drop = true;
    else if (param.key == "shed")
      order.shed = true;
  }
  return order;
}

BackendHandler::BackendHandler(asio::io_context& io, std::string name)
    : io_(io), name_(std::move(name)) {}

asio::awaitable<void> BackendHandler::Sleep(std::uint32_t milliseconds) {
  asio::steady_timer timer(io_);
  timer.expires_after(std::chrono::milliseconds(milliseconds));
  co_await timer.async_wait(kAwait);
}

void BackendHandler::NoteRequest(
    const boost::beast::http::request_header<>& head) {
  ++requests_;
  if (head.count(std::string(kKeyField)) > 0)
    ++keys_seen_;
  const auto named = head.find(std::string(kIdempotencyKeyField));
  if (named != head.end())
    ++runs_by_name_[std::string(named->value())];
}

std::string BackendHandler::Report(
    const boost::beast::http::request_header<>& head,
    std::uint64_t received) const {
  Json::Value report;
  report["server"] = name_;
  report["path"] = std::string(head.target());
  report["workspace"] = std::string(head[std::string(kWorkspaceField)]);
  report["received"] = Json::UInt64{received};
  return ToText(report);
}

std::string BackendHandler::LoadReply() const {
  Json::Value load;
  load["running"] =
      claimed_load_ >= 0 ? claimed_load_ : static_cast<int>(running_);
  return ToText(load);
}

std::string BackendHandler::ControlReply(std::string_view target) {
  constexpr std::string_view kClaim = "/standin/claim-load/";
  if (target.starts_with(kClaim))
    claimed_load_ = static_cast<int>(NumberOf(target.substr(kClaim.size())));
  Json::Value counts;
  counts["requests"] = Json::UInt64{requests_};
  counts["keys_seen"] = Json::UInt64{keys_seen_};
  counts["runs"] = Json::Value(Json::objectValue);
  for (const auto& [name, runs] : runs_by_name_)
    counts["runs"][name] = Json::UInt64{runs};
  return ToText(counts);
}

}  // namespace comfreyvane::standin
