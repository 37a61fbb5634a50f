/// @file
/// Recognition of messages that were received before.
#ifndef COMFREYVANE_EDGE_SEQUENCE_WINDOW_H_
#define COMFREYVANE_EDGE_SEQUENCE_WINDOW_H_

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace comfreyvane {

/// Accepts each sequence number of one sender once. Numbers may arrive out of
/// order; those too far behind the highest are taken for repetitions.
class SequenceWindow {
 public:
  /// @param sequence starts at 1.
  /// @return false if the number was accepted before, or may have been.
  [[nodiscard]] bool Accept(std::uint64_t sequence) {
    if (sequence == 0 || sequence + kSize <= highest_)
      return false;
    if (sequence > highest_) {
      const std::uint64_t step = sequence - highest_;
      for (std::uint64_t i = 1; i <= step && i <= kSize; ++i)
        seen_.reset((highest_ + i) % kSize);
      highest_ = sequence;
    } else if (seen_.test(sequence % kSize)) {
      return false;
    }
    seen_.set(sequence % kSize);
    return true;
  }

 private:
  static constexpr std::size_t kSize = 4096;

  std::bitset<kSize> seen_;
  std::uint64_t highest_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SEQUENCE_WINDOW_H_
