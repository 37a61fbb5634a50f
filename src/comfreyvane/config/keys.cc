#include "comfreyvane/config/keys.h"

#include <openssl/rand.h>

#include <cstdlib>

#include "comfreyvane/config/key_digest.h"

namespace comfreyvane {

std::string Sha256Hex(std::string_view bytes) {
  return KeyDigest::Of(bytes).ToHex();
}

std::string HashKey(const CallerKey& key) {
  return Sha256Hex(key.Reveal());
}

CallerKey GenerateKey() {
  KeyDigest::Bytes bytes{};
  static_assert(2 * sizeof(bytes) == kGeneratedKeyDigits);
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    std::abort();
  return CallerKey(std::string(kKeyPrefix) + KeyDigest(bytes).ToHex());
}

}  // namespace comfreyvane
