#include "comfreyvane/wire/limit_codec.h"

#include <array>
#include <optional>

#include <boost/leaf/handle_errors.hpp>

#include "support/criterion.h"

using namespace std::chrono_literals;
using namespace comfreyvane;

namespace {

LoanMessage SomeLoans() {
  LoanMessage message;
  message.stamp = {Incarnation(~0ULL), 7, TimePoint(5s)};
  message.echo = MessageStamp{Incarnation(2), 3, TimePoint(4s)};
  message.shard = 1;
  message.is_leaving = true;
  message.own_units = 125'000;
  message.loan_lifetime = 1s;
  message.reports = {{LimitId(~1ULL), 900'000, 500'000}};
  message.loans = {{LimitId(9), 4, {1000, 2000}, 3'000'000'000}};
  message.acks = {{LimitId(9), 4, 17}};
  return message;
}

GrantMessage SomeGuards() {
  const HostIncarnation guardian{HostId(3), Incarnation(4)};
  GrantMessage message;
  message.stamp = {Incarnation(1), 2, TimePoint(3s)};
  message.probe = true;
  message.renewal_requests = {{GrantId(1), guardian, guardian, 100, 10min}};
  message.renewals = {{GrantId(1), 100, true, 1s}};
  message.vote_requests = {{GrantId(2)}};
  message.votes = {{GrantId(2), 5}};
  message.releases = {{GrantId(3), 1, 2, 3s, 4s}};
  message.release_acks = {{GrantId(3)}};
  return message;
}

template <typename Read>
std::optional<LimitWireError> ErrorOf(Read&& read) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<LimitWireError>> {
        BOOST_LEAF_CHECK(read());
        return std::nullopt;
      },
      [](LimitWireError error) { return std::optional<LimitWireError>(error); },
      [] { return std::optional<LimitWireError>(); });
}

struct BadCase {
  const char* name;
  Json::ArrayIndex member;
  Json::Value value;
  LimitWireError error;
};

}  // namespace

Test(limit_codec, messages_survive_the_wire) {
  const auto loans = LoanMessageFromJson(ToJson(SomeLoans()));
  cr_assert(loans && loans.value() == SomeLoans());
  const auto guards = GrantMessageFromJson(ToJson(SomeGuards()));
  cr_assert(guards && guards.value() == SomeGuards());
}

Test(limit_codec, malformed_messages_are_typed_errors) {
  const Json::Value list(Json::arrayValue);
  const std::array<BadCase, 6> cases{{
      {"stamp missing", 0, Json::Value(), LimitWireError::kNotArray},
      {"stamp too short", 0, list, LimitWireError::kWrongLength},
      {"shard negative", 2, -1, LimitWireError::kOutOfRange},
      {"flag a number", 3, 1, LimitWireError::kWrongType},
      {"units negative", 5, -5, LimitWireError::kOutOfRange},
      {"loans a text", 8, "x", LimitWireError::kNotArray},
  }};
  for (const BadCase& test : cases) {
    Json::Value json = ToJson(SomeLoans());
    json[test.member] = test.value;
    const auto error = ErrorOf([&] { return LoanMessageFromJson(json); });
    cr_expect(error == test.error, "%s", test.name);
  }
  Json::Value longer = ToJson(SomeGuards());
  longer.append(1);
  cr_expect(ErrorOf([&] { return GrantMessageFromJson(longer); }) ==
            LimitWireError::kWrongLength);
}

Test(limit_codec, the_table_survives_the_store) {
  const ShareTable table{
      {{GrantId(~0ULL), HostId(2), Incarnation(3), 25'000, 100'000, 9}}};
  const TableTransaction transaction =
      ToTransaction({"id", Revision(4), table}, "row");
  cr_expect(transaction.conditions ==
            (std::vector<TableCondition>{{"row", Revision(4)}}));
  const TableRow row{"row", *transaction.writes[0].value, Revision(5)};
  const auto reading = ToSharesReading({TableStatus::kDone, {row}}, "row");
  cr_assert(reading && reading->table == table);
  cr_expect(reading->revision == Revision(5));
  const TableRow broken{"row", "{", Revision(5)};
  cr_expect(ErrorOf([&] {
              return ToSharesReading({TableStatus::kDone, {broken}}, "row");
            }) == LimitWireError::kNotJson);
}
