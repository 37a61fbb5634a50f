/// @file
/// Stand-in of the platform's store.
#ifndef REVIEW_STANDINS_STORE_H_
#define REVIEW_STANDINS_STORE_H_

#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "standins/connection.h"
#include "standins/listener.h"

namespace review {

/// Tables of rows with feeds of their changes, as PROTOCOL.md describes them:
/// rows-get, rows-feed and rows-tx. Thread-safe.
class Store {
 public:
  Store() : listener_([this](Connection& caller) { Serve(caller); }) {}
  ~Store() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
    listener_.Stop();
  }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {value, ++version_, false};
    changed_.notify_all();
  }

  void Delete(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {"", ++version_, true};
    changed_.notify_all();
  }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool is_deleted = false;
  };
  using Place = std::pair<std::string, std::string>;

  /// How long an answer takes.
  static constexpr std::chrono::milliseconds kDelay{4};

  void Serve(Connection& caller) {
    while (const auto head = caller.ReadHead()) {
      const auto body = caller.ReadBody(*head);
      if (!body)
        return;
      std::this_thread::sleep_for(kDelay);
      const auto [status, answer] = AnswerTo(*head, *body);
      const std::string text =
          "HTTP/1.1 " + std::to_string(status) +
          " -\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
          "Content-Length: " +
          std::to_string(answer.size()) + "\r\n\r\n" + answer;
      if (!caller.Write(text))
        return;
    }
  }

  std::pair<int, std::string> AnswerTo(const std::string& head,
                                       const std::string& body) {
    const auto begin = head.find(' ') + 1;
    const std::string target =
        head.substr(begin, head.find(' ', begin) - begin);
    std::map<std::string, std::string> query = QueryOf(target);
    std::unique_lock lock(mutex_);
    if (target.starts_with("/-/rows-get"))
      return {200, Answer(RowsAfter(query["Table"], 0, false))};
    if (target.starts_with("/-/rows-tx"))
      return Commit(body);
    const std::uint64_t after = std::stoull(query["after"]);
    if (after > version_)
      return {410, "{}"};
    const auto is_due = [&] {
      return stopped_ || !RowsAfter(query["Table"], after, true).empty();
    };
    const std::chrono::milliseconds wait(std::stoi(query["WaitMs"]));
    changed_.wait_for(lock, wait, is_due);
    return {200, Answer(RowsAfter(query["Table"], after, true))};
  }

  [[nodiscard]] static std::map<std::string, std::string> QueryOf(
      const std::string& target) {
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const auto begin = at + 1;
      at = target.find('&', begin);
      const std::string pair = target.substr(
          begin, at == std::string::npos ? std::string::npos : at - begin);
      const auto equals = pair.find('=');
      query[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    return query;
  }

  [[nodiscard]] boost::json::array RowsAfter(const std::string& table,
                                             std::uint64_t version,
                                             bool with_deleted) const {
    boost::json::array rows;
    for (const auto& [place, row] : rows_) {
      if (place.first == table && row.version > version &&
          (with_deleted || !row.is_deleted))
        rows.push_back(RowText(place, row));
    }
    return rows;
  }

  [[nodiscard]] static boost::json::object RowText(const Place& place,
                                                   const Row& row) {
    boost::json::object text{{"Table", place.first},
                             {"part", ""},
                             {"Key", place.second},
                             {"SchemaVersion", row.version}};
    if (row.is_deleted)
      text["Tombstone"] = true;
    else
      text["Value"] = Encode(row.value);
    return text;
  }

  [[nodiscard]] std::string Answer(boost::json::array rows) const {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    return boost::json::serialize(
        boost::json::object{{"Rows", std::move(rows)},
                            {"HasMore", false},
                            {"SchemaVersion", version_},
                            {"NowMs", now.count()}});
  }

  std::pair<int, std::string> Commit(const std::string& body) {
    const boost::json::value call = boost::json::parse(body);
    const auto place_of = [](const boost::json::value& row) {
      return Place(row.at("Table").as_string(), row.at("Key").as_string());
    };
    boost::json::array conflicts;
    for (const auto& condition : call.at("Precondition").as_array()) {
      const Place place = place_of(condition);
      const Row& row = rows_[place];
      const std::uint64_t version = row.is_deleted ? 0 : row.version;
      if (condition.at("SchemaVersion").to_number<std::uint64_t>() != version)
        conflicts.push_back(RowText(place, row));
    }
    if (!conflicts.empty())
      return {412, Answer(std::move(conflicts))};
    ++version_;
    for (const auto& row : call.at("Puts").as_array())
      rows_[place_of(row)] = {Decode(row.at("Value").as_string()), version_,
                              false};
    for (const auto& row : call.at("Delete").as_array())
      rows_[place_of(row)] = {"", version_, true};
    changed_.notify_all();
    return {200, Answer({})};
  }

  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

  [[nodiscard]] static std::string Encode(const std::string& bytes) {
    std::string text;
    unsigned bits = 0;
    int count = 0;
    for (const unsigned char byte : bytes) {
      bits = (bits << 8U) | byte;
      for (count += 8; count >= 6; count -= 6)
        text.push_back(
            kDigits[(bits >> static_cast<unsigned>(count - 6)) & 63U]);
    }
    if (count > 0)
      text.push_back(kDigits[(bits << static_cast<unsigned>(6 - count)) & 63U]);
    while (text.size() % 4 != 0)
      text.push_back('=');
    return text;
  }

  [[nodiscard]] static std::string Decode(std::string_view text) {
    std::string bytes;
    unsigned bits = 0;
    int count = 0;
    for (const char digit : text) {
      const auto value = kDigits.find(digit);
      if (value == std::string_view::npos)
        break;
      bits = (bits << 6U) | static_cast<unsigned>(value);
      count += 6;
      if (count >= 8) {
        count -= 8;
        bytes.push_back(
            static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U));
      }
    }
    return bytes;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Place, Row> rows_;
  std::uint64_t version_ = 0;
  bool stopped_ = false;
  Listener listener_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_STORE_H_
