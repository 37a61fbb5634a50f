/// @file
/// Digest of a key.
#ifndef COMFREYVANE_CONFIG_KEY_DIGEST_H_
#define COMFREYVANE_CONFIG_KEY_DIGEST_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyvane {

/// SHA-256 of a key, which stands for the key everywhere in the system.
class KeyDigest {
 public:
  static constexpr std::size_t kBytes = 32;
  using Bytes = std::array<std::uint8_t, kBytes>;

  constexpr KeyDigest() = default;
  constexpr explicit KeyDigest(const Bytes& bytes) : bytes_(bytes) {}

  /// @param key a key in clear, as presented by a caller.
  /// @return its digest. Allocates nothing.
  [[nodiscard]] static KeyDigest Of(std::string_view key);

  /// @param hex 64 lower-case hexadecimal digits.
  /// @return the digest, or nothing if the text is no such digits.
  [[nodiscard]] static std::optional<KeyDigest> FromHex(std::string_view hex);

  /// @return 64 lower-case hexadecimal digits.
  [[nodiscard]] std::string ToHex() const;

  [[nodiscard]] constexpr const Bytes& bytes() const { return bytes_; }

  friend auto operator<=>(const KeyDigest&, const KeyDigest&) = default;

 private:
  Bytes bytes_{};
};

}  // namespace comfreyvane

template <>
struct std::hash<comfreyvane::KeyDigest> {
  /// A digest is uniform already, so its first bytes serve.
  std::size_t operator()(const comfreyvane::KeyDigest& digest) const noexcept {
    std::size_t value = 0;
    std::memcpy(&value, digest.bytes().data(), sizeof(value));
    return value;
  }
};

#endif  // COMFREYVANE_CONFIG_KEY_DIGEST_H_
