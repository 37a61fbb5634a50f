#include "comfreyvane/net/base64.h"

#include <openssl/evp.h>

namespace comfreyvane {
namespace {

/// Characters that stand for three bytes.
constexpr std::size_t kGroupCharacters = 4;
constexpr std::size_t kGroupBytes = 3;

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  std::string text(
      kGroupCharacters * ((bytes.size() + kGroupBytes - 1) / kGroupBytes) + 1,
      '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kGroupCharacters != 0)
    return std::nullopt;
  std::string bytes(text.size() / kGroupCharacters * kGroupBytes, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0)
    return std::nullopt;
  // The library counts padding as bytes.
  std::size_t padding = 0;
  while (padding < text.size() && text[text.size() - 1 - padding] == '=')
    ++padding;
  if (padding > static_cast<std::size_t>(size))
    return std::nullopt;
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}  // namespace comfreyvane
