#include "comfreyvane/steer/client_block.h"

#include <boost/leaf/error.hpp>
#include <charconv>

namespace comfreyvane {

boost::leaf::result<ClientBlock> ClientBlock::Parse(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos)
    return boost::leaf::new_error(AddressError::kMalformedLength);
  auto address = ClientAddress::Parse(text.substr(0, slash));
  if (!address)
    return address.error();
  const std::string_view digits = text.substr(slash + 1);
  const char* const end = digits.data() + digits.size();
  unsigned length = 0;
  const auto [stop, error] = std::from_chars(digits.data(), end, length);
  if (error != std::errc{} || stop != end)
    return boost::leaf::new_error(AddressError::kMalformedLength);
  if (length > AddressBits(address->family()))
    return boost::leaf::new_error(AddressError::kLengthTooLong);
  return ClientBlock(*address, length);
}

bool ClientBlock::Contains(const ClientAddress& address) const {
  return address.family() == first_.family() &&
         address.Prefix(length_) == first_;
}

std::string ClientBlock::ToString() const {
  return first_.ToString() + '/' + std::to_string(length_);
}

}  // namespace comfreyvane
