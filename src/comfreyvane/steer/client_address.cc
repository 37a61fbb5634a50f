#include "comfreyvane/steer/client_address.h"

#include <arpa/inet.h>

#include <array>
#include <boost/leaf/error.hpp>
#include <cassert>

namespace comfreyvane {
namespace {

constexpr std::uint64_t kMappedV4Prefix = 0xffff;

std::uint64_t LoadBigEndian(const unsigned char* bytes, std::size_t count) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < count; ++i)
    value = value << 8U | bytes[i];
  return value;
}

void StoreBigEndian(std::uint64_t value, unsigned char* bytes) {
  for (int i = 7; i >= 0; --i, value >>= 8U)
    bytes[i] = static_cast<unsigned char>(value);
}

std::uint64_t HighMask(unsigned length) {
  return length == 0 ? 0 : ~std::uint64_t{0} << (64 - length);
}

}  // namespace

boost::leaf::result<ClientAddress> ClientAddress::Parse(std::string_view text) {
  const std::string terminated(text);
  std::array<unsigned char, 16> bytes{};
  if (inet_pton(AF_INET, terminated.c_str(), bytes.data()) == 1)
    return V4(static_cast<std::uint32_t>(LoadBigEndian(bytes.data(), 4)));
  if (inet_pton(AF_INET6, terminated.c_str(), bytes.data()) != 1)
    return boost::leaf::new_error(AddressError::kMalformedAddress);
  const std::uint64_t high = LoadBigEndian(bytes.data(), 8);
  const std::uint64_t low = LoadBigEndian(bytes.data() + 8, 8);
  if (high == 0 && low >> 32U == kMappedV4Prefix)
    return V4(static_cast<std::uint32_t>(low));
  return V6(high, low);
}

ClientAddress ClientAddress::Prefix(unsigned length) const {
  assert(length <= AddressBits(family_));
  if (length >= 64)
    return {family_, high_, low_ & HighMask(length - 64)};
  return {family_, high_ & HighMask(length), 0};
}

std::string ClientAddress::ToString() const {
  std::array<unsigned char, 16> bytes{};
  StoreBigEndian(high_, bytes.data());
  StoreBigEndian(low_, bytes.data() + 8);
  std::array<char, INET6_ADDRSTRLEN> text{};
  const int family = family_ == AddressFamily::kV4 ? AF_INET : AF_INET6;
  inet_ntop(family, bytes.data(), text.data(), text.size());
  return text.data();
}

}  // namespace comfreyvane
