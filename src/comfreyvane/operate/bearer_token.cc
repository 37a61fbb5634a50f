#include "comfreyvane/operate/bearer_token.h"

#include <openssl/crypto.h>

#include "comfreyvane/config/key_digest.h"

namespace comfreyvane {
namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

std::string AuthorizationOf(std::string_view token) {
  return std::string(kScheme) + std::string(token);
}

bool CarriesToken(std::string_view header, std::string_view token) {
  if (token.empty() || !header.starts_with(kScheme))
    return false;
  header.remove_prefix(kScheme.size());
  const KeyDigest given = KeyDigest::Of(header);
  const KeyDigest expected = KeyDigest::Of(token);
  return CRYPTO_memcmp(given.bytes().data(), expected.bytes().data(),
                       KeyDigest::kBytes) == 0;
}

}  // namespace comfreyvane
