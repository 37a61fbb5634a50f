/// @file
/// A reader of HTTP/1 messages that accepts no deviation.
#ifndef TESTS_SUPPORT_STRICT_READER_H_
#define TESTS_SUPPORT_STRICT_READER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace comfreyvane::testing {

/// A message as it was on the wire.
struct StrictMessage {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  [[nodiscard]] std::size_t Count(std::string_view name) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        fields,
        [name](const auto& field) { return Equals(field.first, name); }));
  }
  /// @return the value of a field; empty if it is missing.
  [[nodiscard]] std::string At(std::string_view name) const {
    const auto found = std::ranges::find_if(fields, [name](const auto& field) {
      return Equals(field.first, name);
    });
    return found == fields.end() ? std::string() : found->second;
  }
  /// @return the status of an answer.
  [[nodiscard]] int Status() const {
    constexpr std::size_t kStatusAt = 9;
    return std::stoi(start_line.substr(kStatusAt, 3));
  }
  [[nodiscard]] bool IsHttp10() const {
    return start_line.find("HTTP/1.0") != std::string::npos;
  }
  /// @return whether no further message follows on the connection.
  [[nodiscard]] bool IsLast() const {
    return Equals(At("Connection"), "close") ||
           (IsHttp10() && !Equals(At("Connection"), "keep-alive"));
  }

  static bool Equals(std::string_view a, std::string_view b) {
    return std::ranges::equal(a, b, [](char x, char y) {
      return tolower(static_cast<unsigned char>(x)) ==
             tolower(static_cast<unsigned char>(y));
    });
  }
};

/// Reads messages by RFC 9112 and keeps to it more strictly than a recipient
/// must. It shares no code with what it checks.
class StrictReader {
 public:
  /// @param more returns further bytes, none at the end of the connection.
  explicit StrictReader(std::function<std::string()> more)
      : more_(std::move(more)) {}

  /// @return nothing at the end of the connection or at a fault.
  [[nodiscard]] std::optional<StrictMessage> ReadRequest() {
    std::optional<StrictMessage> message = ReadHead();
    if (!message)
      return std::nullopt;
    const std::string& line = message->start_line;
    const auto first = line.find(' ');
    const auto second = line.find(' ', std::min(first + 1, line.size()));
    if (second == std::string::npos || line[first + 1] != '/' ||
        line.substr(second) != " HTTP/1.1")
      return Fail("request line: " + line);
    if (message->Count("Host") != 1)
      return Fail("not one Host: " + line);
    return ReadBody(std::move(*message), false);
  }

  /// @param to_head whether the request was a HEAD.
  /// @return an answer, which may be an interim one.
  [[nodiscard]] std::optional<StrictMessage> ReadAnswer(bool to_head) {
    std::optional<StrictMessage> message = ReadHead();
    if (!message)
      return std::nullopt;
    const std::string& line = message->start_line;
    constexpr std::size_t kPrefix = 13;  // "HTTP/1.1 200 "
    const bool has_form =
        line.size() >= kPrefix &&
        (line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ")) &&
        IsNumber(line.substr(9, 3), 10) && line[9] >= '1' && line[9] <= '5' &&
        line[12] == ' ';
    if (!has_form)
      return Fail("status line: " + line);
    const int status = message->Status();
    const bool is_framed = message->Count("Content-Length") > 0 ||
                           message->Count("Transfer-Encoding") > 0;
    const bool is_bodiless = status / 100 == 1 || status == 204;
    if (is_bodiless && is_framed)
      return Fail("framing field without a body: " + line);
    if (is_bodiless || status == 304 || to_head)
      return message;
    if (!is_framed && !message->IsLast())
      return Fail("body without an end: " + line);
    return ReadBody(std::move(*message), !is_framed);
  }

  /// @return whether the connection ends without a further byte.
  [[nodiscard]] bool AtEnd() {
    if (held_.empty())
      held_ = more_();
    return held_.empty();
  }
  [[nodiscard]] bool has_held() const { return !held_.empty(); }

  /// @return what the first deviation was; empty: none.
  [[nodiscard]] const std::string& fault() const { return fault_; }

 private:
  std::optional<StrictMessage> Fail(const std::string& fault) {
    if (fault_.empty())
      fault_ = fault;
    return std::nullopt;
  }

  static bool IsNumber(std::string_view text, int base) {
    return !text.empty() && std::ranges::all_of(text, [base](char c) {
      return base == 10 ? isdigit(static_cast<unsigned char>(c)) != 0
                        : isxdigit(static_cast<unsigned char>(c)) != 0;
    });
  }

  static bool IsToken(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, [](char c) {
      return isalnum(static_cast<unsigned char>(c)) != 0 ||
             std::string_view("!#$%&'*+-.^_`|~").find(c) !=
                 std::string_view::npos;
    });
  }

  static bool IsText(std::string_view text) {
    constexpr char kDelete = 0x7f;
    return std::ranges::all_of(text, [](char c) {
      return c == '\t' ||
             (static_cast<unsigned char>(c) >= ' ' && c != kDelete);
    });
  }

  /// @return false at the end of the connection.
  bool Fill() {
    const std::string bytes = more_();
    held_ += bytes;
    return !bytes.empty();
  }

  /// @return a line without its end.
  std::optional<std::string> ReadLine() {
    while (held_.find('\n') == std::string::npos) {
      if (!Fill()) {
        if (!held_.empty())
          static_cast<void>(Fail("ends within a line: " + held_));
        return std::nullopt;
      }
    }
    const auto end = held_.find('\n');
    const std::string line = held_.substr(0, end);
    held_.erase(0, end + 1);
    if (!line.ends_with('\r') || !IsText(line.substr(0, line.size() - 1))) {
      static_cast<void>(Fail("line: " + line));
      return std::nullopt;
    }
    return line.substr(0, line.size() - 1);
  }

  std::optional<std::string> Take(std::size_t size) {
    while (held_.size() < size) {
      if (!Fill()) {
        static_cast<void>(Fail("ends within a body"));
        return std::nullopt;
      }
    }
    std::string bytes = held_.substr(0, size);
    held_.erase(0, size);
    return bytes;
  }

  std::optional<StrictMessage> ReadHead() {
    if (!fault_.empty())
      return std::nullopt;
    const auto start = ReadLine();
    if (!start)
      return std::nullopt;
    StrictMessage message;
    message.start_line = *start;
    return ReadFields(message) ? std::optional(message) : std::nullopt;
  }

  bool ReadFields(StrictMessage& message) {
    while (true) {
      const auto line = ReadLine();
      if (!line) {
        static_cast<void>(Fail("ends within a head"));
        return false;
      }
      if (line->empty())
        return true;
      const auto colon = line->find(':');
      if (colon == std::string::npos || !IsToken(line->substr(0, colon))) {
        static_cast<void>(Fail("field: " + *line));
        return false;
      }
      std::string value = line->substr(colon + 1);
      value.erase(0, value.find_first_not_of(" \t"));
      message.fields.emplace_back(line->substr(0, colon), value);
    }
  }

  std::optional<StrictMessage> ReadBody(StrictMessage message, bool to_end) {
    const std::size_t lengths = message.Count("Content-Length");
    const std::size_t codings = message.Count("Transfer-Encoding");
    if (lengths + codings > 1)
      return Fail("framed twice: " + message.start_line);
    if (to_end) {
      while (Fill()) {
      }
      message.body = std::exchange(held_, {});
      return message;
    }
    if (codings == 1) {
      if (message.At("Transfer-Encoding") != "chunked" || message.IsHttp10())
        return Fail("coding: " + message.At("Transfer-Encoding"));
      return ReadChunks(std::move(message));
    }
    if (lengths == 0)
      return message;
    const std::string length = message.At("Content-Length");
    if (!IsNumber(length, 10))
      return Fail("length: " + length);
    auto body = Take(std::stoul(length));
    if (!body)
      return std::nullopt;
    message.body = std::move(*body);
    return message;
  }

  std::optional<StrictMessage> ReadChunks(StrictMessage message) {
    constexpr int kHex = 16;
    while (true) {
      const auto line = ReadLine();
      if (!line || !IsNumber(*line, kHex))
        return Fail("size of a chunk: " + line.value_or("none"));
      const std::size_t size = std::stoul(*line, nullptr, kHex);
      if (size == 0)
        break;
      const auto piece = Take(size);
      const auto end = Take(2);
      if (!piece || end != "\r\n")
        return Fail("end of a chunk");
      message.body += *piece;
    }
    const auto end = ReadLine();
    if (!end || !end->empty())
      return Fail("trailers");
    return message;
  }

  std::function<std::string()> more_;
  std::string held_;
  std::string fault_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_STRICT_READER_H_
