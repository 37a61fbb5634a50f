/// @file
/// Output that never blocks.
#ifndef COMFREYVANE_LOG_BOUNDED_OUTPUT_H_
#define COMFREYVANE_LOG_BOUNDED_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <streambuf>
#include <string>

namespace comfreyvane {

/// Holds lines up to a bound and writes them to a descriptor in batches,
/// without ever waiting for its reader. Lines beyond the bound are dropped and
/// counted. Used by one thread.
class BoundedOutput : public std::streambuf {
 public:
  /// @param descriptor where to write; set to non-blocking.
  /// @param bound most bytes held.
  BoundedOutput(int descriptor, std::size_t bound);

  /// Writes what the reader takes at once.
  void Drain();

  /// @return lines dropped since the last call.
  [[nodiscard]] std::uint64_t TakeDropped();

  [[nodiscard]] std::size_t held() const { return held_.size(); }

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* bytes, std::streamsize size) override;

 private:
  void Append(std::string_view bytes);

  int descriptor_;
  std::size_t bound_;
  std::string held_;
  std::string line_;  ///< Not yet ended.
  std::uint64_t dropped_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_BOUNDED_OUTPUT_H_
