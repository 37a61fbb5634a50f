/// @file
/// Stand-in of the platform's store, as documented by the platform.
#ifndef TESTS_PLATFORM_STORE_STANDIN_H_
#define TESTS_PLATFORM_STORE_STANDIN_H_

#include <openssl/evp.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "comfreyvane/net/caller_exchange.h"
#include "comfreyvane/net/whole_body.h"

namespace comfreyvane::testing {

/// Tables with their rows and feeds, and injected faults. Used by one thread.
class StoreStandin {
 public:
  explicit StoreStandin(asio::io_context& io) : io_(io) {}

  /// @return the value that a caller gets in place of a row's.
  using Rewrite = std::function<std::string(const std::string& table,
                                            const std::string& key,
                                            const std::string& value)>;

  struct Faults {
    unsigned status = 0;        ///< Status of all answers; 0 for no fault.
    bool lose_answers = false;  ///< Run calls, but do not answer.
    bool history_lost = false;  ///< Answer the next feed with 410.
    /// Do not answer calls that begin now or are held, also after the fault.
    bool silent = false;
    /// Hold calls for changes over a restore.
    bool hold_over_restore = false;
  };
  Faults faults;
  int calls = 0;
  std::map<std::string, int> held;  ///< Calls that wait for a change, by table.
  /// Calls that began while the store was silent, by table.
  std::map<std::string, int> begun_in_silence;

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    rows_[{table, key}] = {value, ++version_, false};
  }
  /// Saves a copy of all rows.
  void Backup() { backup_ = {rows_, version_}; }
  /// Restores the saved copy and starts a new era.
  void Restore() {
    std::tie(rows_, version_) = backup_;
    ++era_;
  }

  void Delete(const std::string& table, const std::string& key) {
    rows_[{table, key}] = {"", ++version_, true};
  }
  [[nodiscard]] std::string ValueOf(const std::string& table,
                                    const std::string& key) const {
    const auto found = rows_.find({table, key});
    return found == rows_.end() ? "" : found->second.value;
  }
  [[nodiscard]] bool Has(const std::string& table,
                         const std::string& key) const {
    const auto found = rows_.find({table, key});
    return found != rows_.end() && !found->second.deleted;
  }

  /// @param rewrite applied to all rows that the caller reads; empty: none.
  template <typename Exchange>
  asio::awaitable<bool> Handle(Exchange& exchange, Rewrite rewrite = {}) {
    ++calls;
    const std::string target(exchange.head().target());
    const auto body = co_await ReadWholeBody(exchange, 1 << 20);
    if (!body)
      co_return false;
    const auto url = boost::urls::parse_origin_form(target);
    std::map<std::string, std::string> query;
    for (const auto& parameter : url->params())
      query[parameter.key] = parameter.value;
    typename Exchange::Answer answer;
    answer.version(11);
    answer.result(200);
    if (faults.silent) {
      ++begun_in_silence[query["Table"]];
      co_return co_await StaySilent(exchange);
    }
    if (era_ > 0)
      answer.set("Store-Era", std::to_string(era_));
    if (faults.status != 0)
      answer.result(faults.status);
    else if (url->encoded_path() == "/-/rows-get")
      answer.body() = AllRows(query["Table"], rewrite);
    else if (url->encoded_path() == "/-/rows-tx")
      answer.result(Commit(*body, answer.body()));
    else if (std::exchange(faults.history_lost, false) ||
             std::stoull(query["after"]) > version_)
      answer.result(410);
    else
      answer.body() = co_await HeldChanges(query, rewrite);
    if (faults.silent)
      co_return co_await StaySilent(exchange);
    if (faults.lose_answers) {
      exchange.Abort();
      co_return false;
    }
    answer.prepare_payload();
    co_return co_await exchange.WriteAnswer(answer) == ExchangeFailure::kNone;
  }

  template <typename Exchange>
  asio::awaitable<void> Refuse(Exchange& exchange, RefusalReason) {
    exchange.Abort();
    co_return;
  }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };

  /// Keeps a connection open without an answer for longer than any test lasts.
  template <typename Exchange>
  asio::awaitable<bool> StaySilent(Exchange& exchange) {
    asio::steady_timer timer(io_);
    timer.expires_after(std::chrono::minutes(5));
    co_await timer.async_wait(kAwait);
    exchange.Abort();
    co_return false;
  }

  [[nodiscard]] static std::string Encode(const std::string& bytes) {
    std::string text(bytes.size() * 2 + 8, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
  }
  [[nodiscard]] static std::string Decode(const std::string& text) {
    std::string bytes(text.size(), '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    bytes.resize(static_cast<std::size_t>(size));
    while (!text.empty() && !bytes.empty() && bytes.back() == '\0')
      bytes.pop_back();
    return bytes;
  }

  [[nodiscard]] std::string Answer(boost::json::array rows) const {
    return boost::json::serialize(
        boost::json::object{{"Rows", std::move(rows)},
                            {"HasMore", false},
                            {"SchemaVersion", version_},
                            {"NowMs", 1}});
  }

  [[nodiscard]] static boost::json::object RowText(const std::string& table,
                                                   const std::string& key,
                                                   const Row& row) {
    boost::json::object text{{"Table", table},
                             {"part", ""},
                             {"Key", key},
                             {"SchemaVersion", row.version}};
    if (row.deleted)
      text["Tombstone"] = true;
    else
      text["Value"] = Encode(row.value);
    return text;
  }

  [[nodiscard]] boost::json::array RowsAfter(const std::string& table,
                                             std::uint64_t version,
                                             bool deleted_too,
                                             const Rewrite& rewrite) const {
    boost::json::array rows;
    for (const auto& [place, row] : rows_) {
      if (place.first == table && row.version > version &&
          (deleted_too || !row.deleted)) {
        Row read = row;
        if (rewrite && !row.deleted)
          read.value = rewrite(place.first, place.second, row.value);
        rows.push_back(RowText(place.first, place.second, read));
      }
    }
    return rows;
  }

  [[nodiscard]] std::string AllRows(const std::string& table,
                                    const Rewrite& rewrite) const {
    return Answer(RowsAfter(table, 0, false, rewrite));
  }

  asio::awaitable<std::string> HeldChanges(
      std::map<std::string, std::string> query,
      Rewrite rewrite) {
    ++held[query["Table"]];
    std::string answer = co_await Changes(query, std::move(rewrite));
    --held[query["Table"]];
    co_return answer;
  }

  asio::awaitable<std::string> Changes(std::map<std::string, std::string> query,
                                       Rewrite rewrite) {
    const std::uint64_t after = std::stoull(query["after"]);
    asio::steady_timer timer(io_);
    const std::uint64_t era = era_;
    for (int waited = 0;; waited += 10) {
      boost::json::array rows = RowsAfter(query["Table"], after, true, rewrite);
      const bool is_over = waited >= std::stoi(query["WaitMs"]) ||
                           (era != era_ && !faults.hold_over_restore);
      if (!rows.empty() || is_over)
        co_return Answer(std::move(rows));
      timer.expires_after(std::chrono::milliseconds(10));
      co_await timer.async_wait(kAwait);
    }
  }

  [[nodiscard]] unsigned Commit(const std::string& body, std::string& answer) {
    const boost::json::value call = boost::json::parse(body);
    boost::json::array conflicts;
    const auto key_of = [](const boost::json::value& row) {
      return std::pair(std::string(row.at("Table").as_string()),
                       std::string(row.at("Key").as_string()));
    };
    for (const auto& condition : call.at("Precondition").as_array()) {
      const auto found = rows_.find(key_of(condition));
      const bool exists = found != rows_.end() && !found->second.deleted;
      const std::uint64_t version = exists ? found->second.version : 0;
      if (condition.at("SchemaVersion").to_number<std::uint64_t>() != version)
        conflicts.push_back(
            RowText(found->first.first, found->first.second, found->second));
    }
    if (!conflicts.empty()) {
      answer = Answer(std::move(conflicts));
      return 412;
    }
    ++version_;
    for (const auto& row : call.at("Puts").as_array())
      rows_[key_of(row)] = {Decode(std::string(row.at("Value").as_string())),
                            version_, false};
    for (const auto& row : call.at("Delete").as_array())
      rows_[key_of(row)] = {"", version_, true};
    answer = Answer({});
    return 200;
  }

  asio::io_context& io_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::uint64_t version_ = 0;
  std::uint64_t era_ = 1;
  std::pair<std::map<std::pair<std::string, std::string>, Row>, std::uint64_t>
      backup_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_PLATFORM_STORE_STANDIN_H_
