/// @file
/// Search of consecutive key ranges.
#ifndef COMFREYVANE_STEER_RANGE_INDEX_H_
#define COMFREYVANE_STEER_RANGE_INDEX_H_

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace comfreyvane {

/// Immutable map of consecutive ranges to 16-bit values. Range i extends from
/// its start to the start of range i + 1. Every kStride-th start is also kept
/// in an array small enough for the processor's cache, which selects the few
/// cache lines to search.
/// @tparam Key an ordered value type whose default value is its smallest.
template <typename Key>
class RangeIndex {
 public:
  RangeIndex() = default;

  /// @param starts strictly ascending, beginning with the smallest key.
  /// @param values one for each start.
  RangeIndex(std::vector<Key> starts, std::vector<std::uint16_t> values)
      : starts_(std::move(starts)), values_(std::move(values)) {
    assert(starts_.size() == values_.size());
    assert(starts_.empty() || starts_.front() == Key{});
    starts_.shrink_to_fit();
    values_.shrink_to_fit();
    samples_.reserve((starts_.size() + kStride - 1) / kStride);
    for (std::size_t i = 0; i < starts_.size(); i += kStride)
      samples_.push_back(starts_[i]);
  }

  [[nodiscard]] bool empty() const { return starts_.empty(); }

  /// @return the number of ranges.
  [[nodiscard]] std::size_t size() const { return starts_.size(); }

  /// @param key any key; the index must not be empty.
  /// @return the value of the range that contains the key.
  [[nodiscard]] std::uint16_t Find(const Key& key) const {
    assert(!empty());
    const std::size_t begin =
        (LastNotAbove(samples_.data(), samples_.size(), key)) * kStride;
    const std::size_t count = std::min(kStride, starts_.size() - begin);
    return values_[begin + LastNotAbove(starts_.data() + begin, count, key)];
  }

  /// @return bytes on the heap.
  [[nodiscard]] std::size_t bytes() const {
    return (starts_.capacity() + samples_.capacity()) * sizeof(Key) +
           values_.capacity() * sizeof(std::uint16_t);
  }

 private:
  static constexpr std::size_t kStride = 64;

  static std::size_t LastNotAbove(const Key* keys,
                                  std::size_t count,
                                  const Key& key) {
    const Key* base = keys;
    while (count > 1) {
      const std::size_t half = count / 2;
      base = base[half] <= key ? base + half : base;
      count -= half;
    }
    return static_cast<std::size_t>(base - keys);
  }

  std::vector<Key> starts_;
  std::vector<Key> samples_;
  std::vector<std::uint16_t> values_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_RANGE_INDEX_H_
