/// @file
/// Helpers for the tests of package once.
#ifndef TESTS_COMFREYVANE_ONCE_ONCE_FIXTURE_H_
#define TESTS_COMFREYVANE_ONCE_ONCE_FIXTURE_H_

#include <boost/leaf/handle_errors.hpp>
#include <cstring>
#include <variant>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/once/ticket_issuer.h"

namespace comfreyvane::testing {

inline constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

/// Signs with a keyed hash, which is not secure.
struct FakeSigner {
  std::uint64_t secret = 0;

  TicketSignature operator()(std::string_view bytes) const {
    const std::uint64_t halves[] = {HashBytes(bytes, secret),
                                    HashBytes(bytes, ~secret)};
    TicketSignature signature{};
    std::memcpy(signature.data(), halves, sizeof(halves));
    return signature;
  }
};

using FakeIssuer = TicketIssuer<FakeSigner>;

template <typename T, typename Call>
std::variant<T, Refusal> ValueOf(Call call) {
  using Value = std::variant<T, Refusal>;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Value> {
        boost::leaf::result<T> result = call();
        if (!result)
          return result.error();
        return Value(*result);
      },
      [](const Refusal& refusal) { return Value(refusal); },
      [] { return Value(Refusal{RefusalReason::kInternal}); });
}

inline std::variant<VerifiedTicket, Refusal> Verify(
    const FakeIssuer& issuer,
    const RequestTicket& ticket) {
  return ValueOf<VerifiedTicket>([&] { return issuer.Verify(ticket); });
}

}  // namespace comfreyvane::testing

#endif  // TESTS_COMFREYVANE_ONCE_ONCE_FIXTURE_H_
