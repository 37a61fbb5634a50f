/// @file
/// Strict reader of answers.
#ifndef TESTS_SOAK_ANSWER_READER_H_
#define TESTS_SOAK_ANSWER_READER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyvane::soak {

enum class ReadState : std::uint8_t {
  kIncomplete,
  kComplete,
  kMalformed,  ///< The bytes are no answer.
};

/// An answer as a caller gets it.
struct Answer {
  unsigned status = 0;
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;
  bool keeps_connection = true;

  friend bool operator==(const Answer&, const Answer&) = default;

  /// @return the value of a field; empty if it is missing.
  [[nodiscard]] std::string Field(const std::string& name) const;
};

/// Splits the bytes of a connection into answers as RFC 9112 demands, and takes
/// nothing else for one. Interim answers are skipped.
class AnswerReader {
 public:
  void Add(std::string_view bytes) { held_.append(bytes); }
  /// Notes that the connection was closed in order.
  void End() { has_ended_ = true; }

  /// Takes the next answer, if it is complete.
  /// @param is_to_head whether it answers a HEAD request.
  [[nodiscard]] ReadState Next(bool is_to_head, Answer& answer);

  /// @return bytes that belong to no complete answer.
  [[nodiscard]] const std::string& rest() const { return held_; }

 private:
  [[nodiscard]] ReadState ReadHead(Answer& answer, std::size_t& size) const;
  [[nodiscard]] ReadState ReadBody(Answer& answer, std::size_t& at) const;
  [[nodiscard]] ReadState ReadChunks(Answer& answer, std::size_t& at) const;

  std::string held_;
  bool has_ended_ = false;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_ANSWER_READER_H_
