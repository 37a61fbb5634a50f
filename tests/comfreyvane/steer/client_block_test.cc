#include "comfreyvane/steer/client_block.h"

#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>

#include "support/criterion.h"

using namespace comfreyvane;

namespace {

std::optional<AddressError> ErrorOf(std::string_view text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<AddressError>> {
        BOOST_LEAF_CHECK(ClientBlock::Parse(text));
        return std::optional<AddressError>();
      },
      [](AddressError error) { return std::optional(error); },
      [] { return std::optional<AddressError>(); });
}

}  // namespace

Test(client_block, parses_and_prints) {
  struct Row {
    const char* text;
    const char* printed;
  };
  constexpr std::array kRows{
      Row{"192.0.2.7/24", "192.0.2.0/24"},
      Row{"0.0.0.0/0", "0.0.0.0/0"},
      Row{"192.0.2.7/32", "192.0.2.7/32"},
      Row{"2001:db8:1:2:3::/48", "2001:db8:1::/48"},
      Row{"2001:db8::ff/120", "2001:db8::/120"},
      Row{"::/0", "::/0"},
  };
  for (const auto& row : kRows) {
    const auto block = ClientBlock::Parse(row.text);
    cr_assert(block.has_value(), "%s", row.text);
    cr_expect(block->ToString() == row.printed, "%s", row.text);
  }
}

Test(client_block, rejects_malformed_blocks) {
  struct Row {
    const char* text;
    AddressError error;
  };
  constexpr std::array kRows{
      Row{"192.0.2.0", AddressError::kMalformedLength},
      Row{"192.0.2.0/", AddressError::kMalformedLength},
      Row{"192.0.2.0/2x", AddressError::kMalformedLength},
      Row{"192.0.2.0/-1", AddressError::kMalformedLength},
      Row{"192.0.2.0/33", AddressError::kLengthTooLong},
      Row{"2001:db8::/129", AddressError::kLengthTooLong},
      Row{"192.0.2/24", AddressError::kMalformedAddress},
      Row{"", AddressError::kMalformedLength},
      Row{"host/24", AddressError::kMalformedAddress},
  };
  for (const auto& row : kRows)
    cr_expect(ErrorOf(row.text) == row.error, "%s", row.text);
}

Test(client_block, parses_an_ipv4_mapped_address_as_ipv4) {
  cr_expect(*ClientAddress::Parse("::ffff:192.0.2.7") ==
            *ClientAddress::Parse("192.0.2.7"));
}
