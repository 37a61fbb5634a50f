#include "comfreyvane/spread/text_reader.h"

#include <array>
#include <charconv>

#include "comfreyvane/spread/spread_error.h"

namespace comfreyvane {

namespace {

constexpr int kBase = 16;

}  // namespace

boost::leaf::result<std::uint64_t> TextReader::Number() {
  std::uint64_t number = 0;
  const char* end = rest_.data() + rest_.size();
  const auto parsed = std::from_chars(rest_.data(), end, number, kBase);
  if (parsed.ec != std::errc() || parsed.ptr == end ||
      (*parsed.ptr != ' ' && *parsed.ptr != '\n'))
    return boost::leaf::new_error(SpreadError::kMalformed);
  rest_.remove_prefix(static_cast<std::size_t>(parsed.ptr - rest_.data()) + 1);
  return number;
}

boost::leaf::result<std::string> TextReader::Bytes() {
  BOOST_LEAF_AUTO(size, Number());
  if (size >= rest_.size() || rest_[size] != '\n')
    return boost::leaf::new_error(SpreadError::kMalformed);
  std::string bytes(rest_.substr(0, size));
  rest_.remove_prefix(size + 1);
  return bytes;
}

void AppendNumber(std::string& text, std::uint64_t number) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, kBase)
          .ptr;
  text.append(digits.data(), end);
  text.push_back(' ');
}

void AppendBytes(std::string& text, std::string_view bytes) {
  AppendNumber(text, bytes.size());
  text.append(bytes);
  text.push_back('\n');
}

}  // namespace comfreyvane
