#include "comfreyvane/peer/peer_stamp.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace comfreyvane {
namespace {

constexpr std::size_t kFields = 5;

std::optional<std::uint64_t> TakeNumber(std::string_view& text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (error != std::errc())
    return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return value;
}

}  // namespace

std::string ToText(const PeerStamp& stamp) {
  constexpr std::size_t kMostCharacters = kFields * 17;
  std::array<char, kMostCharacters> text{};
  const int size = std::snprintf(
      text.data(), text.size(), "%lx-%lx-%lx-%lx-%lx", stamp.from.value(),
      stamp.from_incarnation.value(), stamp.to.value(),
      stamp.to_incarnation.value(), stamp.sequence);
  return {text.data(), static_cast<std::size_t>(size)};
}

std::optional<PeerStamp> ParsePeerStamp(std::string_view text) {
  std::array<std::uint64_t, kFields> fields{};
  for (std::size_t i = 0; i < kFields; ++i) {
    if (i > 0) {
      if (!text.starts_with('-'))
        return std::nullopt;
      text.remove_prefix(1);
    }
    const auto value = TakeNumber(text);
    if (!value)
      return std::nullopt;
    fields[i] = *value;
  }
  if (!text.empty())
    return std::nullopt;
  return PeerStamp{HostId(fields[0]), Incarnation(fields[1]), HostId(fields[2]),
                   Incarnation(fields[3]), fields[4]};
}

}  // namespace comfreyvane
