#include "comfreyvane/host/ticket_hmac.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <new>

namespace comfreyvane {

TicketHmac::TicketHmac() {
  if (RAND_bytes(secret_.data(), static_cast<int>(secret_.size())) != 1)
    throw std::bad_alloc();
}

TicketSignature TicketHmac::operator()(std::string_view bytes) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
  unsigned size = 0;
  HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       code.data(), &size);
  TicketSignature signature{};
  std::copy_n(code.begin(), signature.size(), signature.begin());
  return signature;
}

}  // namespace comfreyvane
