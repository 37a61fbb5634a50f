#include "comfreyvane/log/bounded_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <string_view>
#include <utility>

namespace comfreyvane {

BoundedOutput::BoundedOutput(int descriptor, std::size_t bound)
    : descriptor_(descriptor), bound_(bound) {
  const int flags = fcntl(descriptor, F_GETFL, 0);
  if (flags >= 0)
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void BoundedOutput::Drain() {
  std::size_t written = 0;
  while (written < held_.size()) {
    const auto size =
        write(descriptor_, held_.data() + written, held_.size() - written);
    // The reader is full or gone; what it did not take is tried again.
    if (size <= 0)
      break;
    written += static_cast<std::size_t>(size);
  }
  held_.erase(0, written);
}

std::uint64_t BoundedOutput::TakeDropped() {
  return std::exchange(dropped_, 0);
}

BoundedOutput::int_type BoundedOutput::overflow(int_type c) {
  if (c != traits_type::eof()) {
    const char byte = traits_type::to_char_type(c);
    Append({&byte, 1});
  }
  return traits_type::not_eof(c);
}

std::streamsize BoundedOutput::xsputn(const char* bytes, std::streamsize size) {
  Append({bytes, static_cast<std::size_t>(size)});
  return size;
}

void BoundedOutput::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) {
      line_ += bytes;
      return;
    }
    line_ += bytes.substr(0, end + 1);
    bytes.remove_prefix(end + 1);
    if (held_.size() + line_.size() <= bound_)
      held_ += line_;
    else
      ++dropped_;
    line_.clear();
  }
}

}  // namespace comfreyvane
