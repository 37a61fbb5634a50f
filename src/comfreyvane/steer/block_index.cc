#include "comfreyvane/steer/block_index.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace comfreyvane {
namespace {

constexpr std::uint64_t kAllOnes = ~std::uint64_t{0};
constexpr unsigned kNarrowBits = 64;

/// Range of the keys of a block, including both ends.
template <typename Key>
struct KeyRange {
  Key first;
  Key last;
  std::uint16_t value;
};

/// Flattens nested ranges into consecutive ones by a sweep over their bounds.
/// @tparam Next returns the successor of a key.
template <typename Key, Key (*Next)(const Key&)>
class Flattener {
 public:
  explicit Flattener(std::size_t ranges) {
    starts_.reserve(2 * ranges + 1);
    values_.reserve(2 * ranges + 1);
    BeginRange(Key{}, BlockIndex::kNoValue);
  }

  /// Adds a range. Call in ascending order of first key, outer ranges before
  /// inner ones.
  void Add(const KeyRange<Key>& range) {
    CloseBefore(range.first);
    BeginRange(range.first, range.value);
    open_.push_back(range);
  }

  /// @param greatest the greatest key.
  [[nodiscard]] RangeIndex<Key> Finish(const Key& greatest) {
    CloseBefore(greatest);
    return RangeIndex<Key>(std::move(starts_), std::move(values_));
  }

 private:
  void CloseBefore(const Key& key) {
    while (!open_.empty() && open_.back().last < key) {
      const Key after = Next(open_.back().last);
      open_.pop_back();
      BeginRange(after,
                 open_.empty() ? BlockIndex::kNoValue : open_.back().value);
    }
  }

  void BeginRange(const Key& first, std::uint16_t value) {
    if (!starts_.empty() && starts_.back() == first) {
      starts_.pop_back();
      values_.pop_back();
    }
    if (!values_.empty() && values_.back() == value)
      return;
    starts_.push_back(first);
    values_.push_back(value);
  }

  std::vector<Key> starts_;
  std::vector<std::uint16_t> values_;
  std::vector<KeyRange<Key>> open_;
};

template <typename Integer>
Integer NextInteger(const Integer& key) {
  return key + 1;
}

using Entries = std::span<const BlockIndex::Entry>;

RangeIndex<std::uint32_t> FlattenV4(Entries entries) {
  Flattener<std::uint32_t, NextInteger<std::uint32_t>> flattener(
      entries.size());
  for (const auto& [block, value] : entries) {
    const std::uint32_t first = block.first().v4();
    const auto suffix_mask =
        static_cast<std::uint32_t>(kAllOnes >> 32U >> block.length());
    flattener.Add({first, first | suffix_mask, value});
  }
  return flattener.Finish(~std::uint32_t{0});
}

std::uint64_t SuffixMask64(unsigned length) {
  return length >= kNarrowBits ? 0 : kAllOnes >> length;
}

/// @param wide_value value of upper halves that have blocks longer than 64
///     bits; nothing to omit such blocks.
RangeIndex<std::uint64_t> FlattenV6(Entries entries,
                                    std::optional<std::uint16_t> wide_value) {
  Flattener<std::uint64_t, NextInteger<std::uint64_t>> flattener(
      entries.size());
  for (const auto& [block, value] : entries) {
    const bool wide = block.length() > kNarrowBits;
    if (wide && !wide_value)
      continue;
    const std::uint64_t first = block.first().high();
    flattener.Add({first, first | SuffixMask64(block.length()),
                   wide ? *wide_value : value});
  }
  return flattener.Finish(kAllOnes);
}

Entries EntriesOf(Entries entries, AddressFamily family) {
  const auto middle = std::ranges::find_if(entries, [](const auto& entry) {
    return entry.block.first().family() == AddressFamily::kV6;
  });
  return family == AddressFamily::kV4 ? Entries(entries.begin(), middle)
                                      : Entries(middle, entries.end());
}

bool IsWide(const BlockIndex::Entry& entry) {
  return entry.block.length() > kNarrowBits;
}

}  // namespace

BlockIndex::WideKey BlockIndex::NextWide(const WideKey& key) {
  return {key.low == kAllOnes ? key.high + 1 : key.high, key.low + 1};
}

RangeIndex<BlockIndex::WideKey> BlockIndex::FlattenWide(
    std::span<const Entry> entries,
    const RangeIndex<std::uint64_t>& narrow) {
  Flattener<WideKey, NextWide> flattener(entries.size());
  std::optional<std::uint64_t> half;
  for (const auto& entry : entries) {
    if (!IsWide(entry))
      continue;
    const ClientAddress first = entry.block.first();
    if (half != first.high()) {
      half = first.high();
      flattener.Add({{*half, 0}, {*half, kAllOnes}, narrow.Find(*half)});
    }
    const std::uint64_t suffix_mask =
        SuffixMask64(entry.block.length() - kNarrowBits);
    flattener.Add({{first.high(), first.low()},
                   {first.high(), first.low() | suffix_mask},
                   entry.value});
  }
  return flattener.Finish({kAllOnes, kAllOnes});
}

BlockIndex::BlockIndex(std::span<const Entry> entries)
    : v4_(FlattenV4(EntriesOf(entries, AddressFamily::kV4))) {
  const auto v6_entries = EntriesOf(entries, AddressFamily::kV6);
  v6_ = FlattenV6(v6_entries, std::nullopt);
  if (std::ranges::any_of(v6_entries, IsWide)) {
    wide_ = FlattenWide(v6_entries, v6_);
    v6_ = FlattenV6(v6_entries, kSearchWide);
  }
}

std::uint16_t BlockIndex::Find(const ClientAddress& address) const {
  if (address.family() == AddressFamily::kV4)
    return v4_.empty() ? kNoValue : v4_.Find(address.v4());
  const std::uint16_t value = v6_.empty() ? kNoValue : v6_.Find(address.high());
  if (value != kSearchWide)
    return value;
  return wide_.Find({address.high(), address.low()});
}

std::size_t BlockIndex::bytes() const {
  return v4_.bytes() + v6_.bytes() + wide_.bytes();
}

}  // namespace comfreyvane
