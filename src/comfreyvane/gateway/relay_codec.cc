#include "comfreyvane/gateway/relay_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <chrono>
#include <exception>

#include "comfreyvane/base/number_of.h"
#include "comfreyvane/edge/feed_schedule.h"
#include "comfreyvane/net/base64.h"
#include "comfreyvane/net/deflate.h"

namespace comfreyvane {
namespace {

namespace json = boost::json;

constexpr std::string_view kPath = "/changes";
constexpr std::string_view kConfirmedBefore = "confirmed_before_ms";

/// Size limit of the text of an answer.
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024 * 1024;

/// Maximum wait in a call.
constexpr std::uint64_t kMaxWaitMs = 10'000;

json::object FeedObject(const TableFeed& feed) {
  json::array rows;
  for (const TableRow& row : feed.rows) {
    rows.push_back(json::array{EncodeBase64(row.key), EncodeBase64(row.value),
                               row.revision.value()});
  }
  return json::object{{"position", feed.position.value()},
                      {"rows", std::move(rows)}};
}

/// @throws std::exception if the value is not a base64 string.
std::string BytesOf(const json::value& value) {
  return DecodeBase64(std::string_view(value.as_string())).value();
}

/// @throws std::exception if the object is not a valid feed.
TableFeed FeedOf(const json::object& object) {
  TableFeed feed;
  feed.status = TableStatus::kDone;
  feed.position = Revision(object.at("position").to_number<std::uint64_t>());
  for (const json::value& value : object.at("rows").as_array()) {
    const json::array& row = value.as_array();
    feed.rows.push_back({BytesOf(row.at(0)), BytesOf(row.at(1)),
                         Revision(row.at(2).to_number<std::uint64_t>())});
  }
  return feed;
}

}  // namespace

std::string EncodeRelayCall(const RelayCall& call) {
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(call.wait);
  std::string target = std::string(kPath) +
                       "?nonce=" + std::to_string(call.nonce) +
                       "&era=" + std::to_string(call.era) +
                       "&wait_ms=" + std::to_string(wait.count());
  for (const Revision position : call.positions)
    target += "&position=" + std::to_string(position.value());
  return target;
}

std::optional<RelayCall> ParseRelayCall(std::string_view target) {
  const auto url = boost::urls::parse_origin_form(target);
  if (!url || url->encoded_path() != kPath)
    return std::nullopt;
  RelayCall call;
  std::size_t positions = 0;
  for (const auto& parameter : url->params()) {
    const auto number = NumberOf<std::uint64_t>(parameter.value);
    if (!number)
      return std::nullopt;
    if (parameter.key == "nonce")
      call.nonce = *number;
    else if (parameter.key == "era")
      call.era = *number;
    else if (parameter.key == "wait_ms" && *number <= kMaxWaitMs)
      call.wait = std::chrono::milliseconds(*number);
    else if (parameter.key == "position" && positions < kStoreTables)
      call.positions[positions++] = Revision(*number);
    else
      return std::nullopt;
  }
  if (positions != kStoreTables)
    return std::nullopt;
  return call;
}

std::string EncodeRelayAnswer(const RelayAnswer& answer) {
  json::array feeds;
  for (const TableFeed& feed : answer.feeds)
    feeds.push_back(FeedObject(feed));
  if (answer.confirmed_before) {
    const auto ceiled =
        std::chrono::ceil<std::chrono::milliseconds>(*answer.confirmed_before);
    // Hosts of earlier builds ignore the member.
    feeds[IndexOf(StoreTable::kOperator)].as_object()[kConfirmedBefore] =
        ceiled.count();
  }
  return json::serialize(feeds);
}

std::string EncodeCompressedAnswer(const RelayAnswer& answer,
                                   std::string_view feeds) {
  const auto confirmed = std::chrono::ceil<std::chrono::milliseconds>(
      answer.confirmed_before.value_or(FeedSchedule::kMaxRelayAge));
  return std::to_string(confirmed.count()) + '\n' + std::string(feeds);
}

std::optional<RelayAnswer> ParseCompressedAnswer(std::string_view text) {
  const auto end = text.find('\n');
  if (end == std::string_view::npos)
    return std::nullopt;
  const auto confirmed =
      NumberOf<std::int64_t>(std::string(text.substr(0, end)));
  const auto feeds = Inflate(text.substr(end + 1), kMaxAnswerBytes);
  auto answer = feeds ? ParseRelayAnswer(*feeds) : std::nullopt;
  if (!confirmed || !answer)
    return std::nullopt;
  answer->confirmed_before = std::chrono::milliseconds(*confirmed);
  return answer;
}

std::string EncodeRelayEra(std::uint64_t era) {
  return json::serialize(json::object{{"era", era}});
}

std::uint64_t ParseRelayEra(std::string_view text) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object())
    return 0;
  const json::value* const era = value.get_object().if_contains("era");
  if (era == nullptr)
    return 0;
  json::error_code not_a_number;
  const auto number = era->to_number<std::uint64_t>(not_a_number);
  return not_a_number ? 0 : number;
}

std::optional<RelayAnswer> ParseRelayAnswer(std::string_view text) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_array() || value.get_array().size() != kStoreTables)
    return std::nullopt;
  RelayAnswer answer;
  answer.status = RelayStatus::kDone;
  try {
    for (std::size_t i = 0; i < kStoreTables; ++i)
      answer.feeds[i] = FeedOf(value.get_array()[i].as_object());
    const json::object& object =
        value.get_array()[IndexOf(StoreTable::kOperator)].as_object();
    if (const json::value* const stated =
            object.if_contains(kConfirmedBefore)) {
      answer.confirmed_before =
          std::chrono::milliseconds(stated->to_number<std::int64_t>());
    }
  } catch (const std::exception&) {
    // The caller counts and logs an unreadable answer.
    return std::nullopt;
  }
  return answer;
}

}  // namespace comfreyvane
