#include "platform/gateway_platform.h"

#include "support/criterion.h"

using namespace comfreyvane;
using comfreyvane::platform::GatewayPlatform;

Test(gateway_platform, parses_look_ups) {
  const auto query = GatewayPlatform::ParseLookUp(
      "/-/resolve?Name=hulo84.example&Region=west&Zone=west-a");
  cr_expect(query == LookUpQuery({"hulo84.example", "west", "west-a"}));
  cr_expect(GatewayPlatform::ParseLookUp("/-/resolve").has_value());
  for (const char* target : {"", "/", "/-/resolves", "resolve", "/-/ready"})
    cr_expect(!GatewayPlatform::ParseLookUp(target), "%s", target);
}

Test(gateway_platform, encodes_answers_to_look_ups) {
  cr_expect(GatewayPlatform::LookUpAnswer({"10.1.0.35:8686"},
                                          std::chrono::milliseconds(1500)) ==
            R"({"Addresses":["10.1.0.35:8686"],"TtlS":1.5E0})");
}

Test(gateway_platform, recognizes_the_readiness_call) {
  cr_expect(GatewayPlatform::IsReadinessCall("/-/ready"));
  cr_expect(!GatewayPlatform::IsReadinessCall("/-/ready/"));
}

Test(gateway_platform, reads_the_limit_that_an_answer_names) {
  const auto named = [](const char* value) {
    boost::beast::http::response_header<> head;
    head.set("server-limit", value);
    return GatewayPlatform::NoticeOf(head).limit;
  };
  cr_expect(GatewayPlatform::NoticeOf({}) == ServerNotice{});
  cr_expect(named("2.4") == NamedLimit({NamedLimit::State::kNamed, 2.4}));
  cr_expect(named("3") == NamedLimit({NamedLimit::State::kNamed, 3.0}));
  cr_expect(named("0") == NamedLimit({NamedLimit::State::kNamed, 0.0}));
  for (const char* text : {"", "x", "-1", "2.4.1", "2 per s", "nan", "inf"})
    cr_expect(named(text).state == NamedLimit::State::kUnreadable, "%s", text);
}

Test(gateway_platform, reads_whether_an_answer_says_that_its_server_leaves) {
  const auto is_leaving = [](const char* value) {
    boost::beast::http::response_header<> head;
    head.set("server-leaving", value);
    return GatewayPlatform::NoticeOf(head).is_leaving;
  };
  cr_expect(is_leaving("1"));
  cr_expect(is_leaving("true"));
  cr_expect(!is_leaving("0"));
}

Test(gateway_platform, reads_for_how_long_a_server_wants_no_requests) {
  const auto read = [](unsigned status, const char* value) {
    boost::beast::http::response_header<> head;
    head.result(status);
    head.set("retry-after", value);
    return GatewayPlatform::NoticeOf(head);
  };
  cr_expect(read(503, "4").wait == std::chrono::seconds(4));
  cr_expect(read(503, "0.25").wait == std::chrono::milliseconds(250));
  cr_expect(read(503, "0").wait == Duration::zero());
  cr_expect(read(503, "1e300").wait == std::chrono::hours(24));
  cr_expect(read(200, "4").wait == Duration::zero());
  for (const char* text :
       {"", "soon", "-1", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    cr_expect(read(503, text).wait == Duration::zero(), "%s", text);
    cr_expect(read(503, text).has_unreadable_wait, "%s", text);
  }
}
