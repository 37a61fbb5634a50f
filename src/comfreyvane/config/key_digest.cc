#include "comfreyvane/config/key_digest.h"

#include <openssl/evp.h>

#include <cstdlib>
#include <memory>

namespace comfreyvane {
namespace {

constexpr std::string_view kDigits = "0123456789abcdef";

struct FreeContext {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};

/// @return a context that the calling thread uses again and again.
EVP_MD_CTX* ThreadContext() {
  thread_local std::unique_ptr<EVP_MD_CTX, FreeContext> context(
      EVP_MD_CTX_new());
  return context.get();
}

}  // namespace

KeyDigest KeyDigest::Of(std::string_view key) {
  static const EVP_MD* const kAlgorithm = EVP_sha256();
  EVP_MD_CTX* const context = ThreadContext();
  Bytes bytes{};
  unsigned size = 0;
  const bool done = context != nullptr &&
                    EVP_DigestInit_ex(context, kAlgorithm, nullptr) == 1 &&
                    EVP_DigestUpdate(context, key.data(), key.size()) == 1 &&
                    EVP_DigestFinal_ex(context, bytes.data(), &size) == 1;
  if (!done || size != kBytes)
    std::abort();
  return KeyDigest(bytes);
}

std::optional<KeyDigest> KeyDigest::FromHex(std::string_view hex) {
  if (hex.size() != 2 * kBytes)
    return std::nullopt;
  Bytes bytes{};
  for (std::size_t i = 0; i < hex.size(); ++i) {
    const auto digit = kDigits.find(hex[i]);
    if (digit == std::string_view::npos)
      return std::nullopt;
    bytes[i / 2] = static_cast<std::uint8_t>(bytes[i / 2] << 4 | digit);
  }
  return KeyDigest(bytes);
}

std::string KeyDigest::ToHex() const {
  std::string hex;
  hex.reserve(2 * kBytes);
  for (const std::uint8_t byte : bytes_) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 0xf];
  }
  return hex;
}

}  // namespace comfreyvane
