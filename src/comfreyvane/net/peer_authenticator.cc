#include "comfreyvane/net/peer_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <utility>

namespace comfreyvane {

PeerAuthenticator::PeerAuthenticator(std::string secret)
    : secret_(std::move(secret)) {}

std::string PeerAuthenticator::Sign(std::string_view stamp,
                                    std::string_view body) const {
  constexpr std::string_view kDigits = "0123456789abcdef";
  // A stamp holds no line feed, so stamp and body cannot run into each other.
  std::string message;
  message.reserve(stamp.size() + 1 + body.size());
  message.append(stamp).append("\n").append(body);
  std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
  unsigned size = 0;
  HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       code.data(), &size);
  std::string text;
  for (unsigned i = 0; i < size; ++i) {
    text.push_back(kDigits[code[i] >> 4U]);
    text.push_back(kDigits[code[i] & 0xfU]);
  }
  return text;
}

bool PeerAuthenticator::Verify(std::string_view stamp,
                               std::string_view body,
                               std::string_view code) const {
  const std::string expected = Sign(stamp, body);
  return code.size() == expected.size() &&
         CRYPTO_memcmp(code.data(), expected.data(), expected.size()) == 0;
}

}  // namespace comfreyvane
