/// @file
/// Reads the fields of a row's text.
#ifndef COMFREYVANE_SPREAD_TEXT_READER_H_
#define COMFREYVANE_SPREAD_TEXT_READER_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace comfreyvane {

/// Reads the fields of a row's text in their order. All functions return
/// SpreadError::kMalformed when the text holds something else.
class TextReader {
 public:
  /// @param text must outlive the reader.
  explicit TextReader(std::string_view text) : rest_(text) {}

  /// @return a hexadecimal number that a space or a line's end closes.
  [[nodiscard]] boost::leaf::result<std::uint64_t> Number();

  /// @return bytes written by AppendBytes.
  [[nodiscard]] boost::leaf::result<std::string> Bytes();

  /// @return whether nothing is left.
  [[nodiscard]] bool at_end() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

/// Appends a number in hexadecimal digits, and a space.
void AppendNumber(std::string& text, std::uint64_t number);

/// Appends a length, the bytes and a line's end.
void AppendBytes(std::string& text, std::string_view bytes);

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_TEXT_READER_H_
