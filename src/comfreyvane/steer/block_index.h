/// @file
/// Longest-prefix match of addresses.
#ifndef COMFREYVANE_STEER_BLOCK_INDEX_H_
#define COMFREYVANE_STEER_BLOCK_INDEX_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>

#include "comfreyvane/steer/client_address.h"
#include "comfreyvane/steer/client_block.h"
#include "comfreyvane/steer/range_index.h"

namespace comfreyvane {

/// Immutable longest-prefix-match index from addresses to 16-bit values. Nested
/// blocks are flattened into disjoint ranges: one array for IPv4, one for the
/// first 64 bits of IPv6, and one for the few IPv6 blocks longer than 64 bits.
class BlockIndex {
 public:
  /// A block and its value, less than kNoValue - 1.
  struct Entry {
    ClientBlock block;
    std::uint16_t value = 0;
  };

  /// Value of addresses outside all blocks.
  static constexpr std::uint16_t kNoValue = 0xffff;

  BlockIndex() = default;

  /// @param entries ascending by block, without duplicates.
  explicit BlockIndex(std::span<const Entry> entries);

  /// @return the value of the longest block that contains the address, or
  ///     kNoValue.
  [[nodiscard]] std::uint16_t Find(const ClientAddress& address) const;

  /// @return bytes on the heap.
  [[nodiscard]] std::size_t bytes() const;

 private:
  struct WideKey {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    friend auto operator<=>(const WideKey&, const WideKey&) = default;
  };

  [[nodiscard]] static WideKey NextWide(const WideKey& key);
  [[nodiscard]] static RangeIndex<WideKey> FlattenWide(
      std::span<const Entry> entries,
      const RangeIndex<std::uint64_t>& narrow);

  /// Marks upper halves of addresses that need a search of `wide_`.
  static constexpr std::uint16_t kSearchWide = 0xfffe;

  RangeIndex<std::uint32_t> v4_;
  RangeIndex<std::uint64_t> v6_;
  RangeIndex<WideKey> wide_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_BLOCK_INDEX_H_
