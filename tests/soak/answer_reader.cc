#include "soak/answer_reader.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace comfreyvane::soak {
namespace {

constexpr unsigned kFirstFinal = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

template <typename Number>
std::optional<Number> NumberIn(std::string_view text, int base = 10) {
  Number number{};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, base);
  if (error != std::errc() || stop != end || text.empty())
    return std::nullopt;
  return number;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](unsigned char letter) {
    return std::isalnum(letter) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~")
                   .find(static_cast<char>(letter)) != std::string_view::npos;
  });
}

std::optional<unsigned> StatusIn(std::string_view line) {
  constexpr std::string_view kStart = "HTTP/1.1 ";
  constexpr std::size_t kDigits = 3;
  if (!line.starts_with(kStart) || line.size() < kStart.size() + kDigits + 1 ||
      line[kStart.size() + kDigits] != ' ')
    return std::nullopt;
  const auto status = NumberIn<unsigned>(line.substr(kStart.size(), kDigits));
  if (!status || *status < 100 || *status > 599)
    return std::nullopt;
  return status;
}

/// @return false if the line is no field or repeats one that frames the body.
bool AddField(std::string_view line, Answer& answer) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)))
    return false;
  std::string name(line.substr(0, colon));
  std::ranges::transform(name, name.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  std::string_view value = line.substr(colon + 1);
  while (value.starts_with(' '))
    value.remove_prefix(1);
  const bool is_new = answer.fields.emplace(name, value).second;
  return is_new || (name != "content-length" && name != "transfer-encoding");
}

}  // namespace

std::string Answer::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

ReadState AnswerReader::Next(bool is_to_head, Answer& answer) {
  while (true) {
    answer = Answer{};
    std::size_t size = 0;
    ReadState state = ReadHead(answer, size);
    if (state != ReadState::kComplete)
      return state;
    const bool is_interim = answer.status < kFirstFinal;
    const bool has_body = !is_to_head && !is_interim &&
                          answer.status != kNoContent &&
                          answer.status != kNotModified;
    if (has_body)
      state = ReadBody(answer, size);
    if (state != ReadState::kComplete)
      return state;
    held_.erase(0, size);
    if (!is_interim)
      return ReadState::kComplete;
  }
}

ReadState AnswerReader::ReadHead(Answer& answer, std::size_t& size) const {
  const auto end = held_.find("\r\n\r\n");
  if (end == std::string::npos) {
    constexpr std::string_view kStart = "HTTP/1.1 ";
    const std::size_t known = std::min(kStart.size(), held_.size());
    return std::string_view(held_).substr(0, known) == kStart.substr(0, known)
               ? ReadState::kIncomplete
               : ReadState::kMalformed;
  }
  size = end + 4;
  std::string_view rest = std::string_view(held_).substr(0, end);
  const auto line_end = std::min(rest.find("\r\n"), rest.size());
  const auto status = StatusIn(rest.substr(0, line_end));
  if (!status)
    return ReadState::kMalformed;
  answer.status = *status;
  rest.remove_prefix(line_end);
  while (!rest.empty()) {
    rest.remove_prefix(2);
    const auto next = std::min(rest.find("\r\n"), rest.size());
    if (!AddField(rest.substr(0, next), answer))
      return ReadState::kMalformed;
    rest.remove_prefix(next);
  }
  answer.keeps_connection = answer.Field("connection") != "close";
  return ReadState::kComplete;
}

ReadState AnswerReader::ReadBody(Answer& answer, std::size_t& at) const {
  const std::string coding = answer.Field("transfer-encoding");
  const bool has_length = answer.fields.contains("content-length");
  if (!coding.empty()) {
    return coding == "chunked" && !has_length ? ReadChunks(answer, at)
                                              : ReadState::kMalformed;
  }
  if (!has_length) {
    // The body ends with the connection.
    answer.keeps_connection = false;
    answer.body = held_.substr(at);
    at = held_.size();
    return has_ended_ ? ReadState::kComplete : ReadState::kIncomplete;
  }
  const auto length = NumberIn<std::size_t>(answer.Field("content-length"));
  if (!length)
    return ReadState::kMalformed;
  if (held_.size() - at < *length)
    return ReadState::kIncomplete;
  answer.body = held_.substr(at, *length);
  at += *length;
  return ReadState::kComplete;
}

ReadState AnswerReader::ReadChunks(Answer& answer, std::size_t& at) const {
  while (true) {
    const auto line_end = held_.find("\r\n", at);
    if (line_end == std::string::npos)
      return ReadState::kIncomplete;
    const auto length = NumberIn<std::size_t>(
        std::string_view(held_).substr(at, line_end - at), 16);
    if (!length)
      return ReadState::kMalformed;
    at = line_end + 2;
    if (held_.size() - at < *length + 2)
      return ReadState::kIncomplete;
    answer.body += held_.substr(at, *length);
    at += *length;
    if (held_.compare(at, 2, "\r\n") != 0)
      return ReadState::kMalformed;
    at += 2;
    if (*length == 0)
      return ReadState::kComplete;
  }
}

}  // namespace comfreyvane::soak
