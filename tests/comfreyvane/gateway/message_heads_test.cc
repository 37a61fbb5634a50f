#include "comfreyvane/gateway/message_heads.h"

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;

namespace {

namespace http = boost::beast::http;

HeaderNames Names() {
  HeaderNames names;
  names.request_id = "X-Id";
  names.deadline_ms = "X-Deadline";
  names.affinity = "object";
  names.seal = "X-Seal";
  names.workspace = "X-Workspace";
  names.expected_server = "X-Server";
  names.load = "X-Load";
  names.not_run = "X-Not-Run";
  return names;
}

}  // namespace

Test(message_heads, removes_the_key_from_the_head) {
  EdgeWorkspace workspace;
  workspace.name = "kandy";
  GatewayRequest request;
  request.workspace = &workspace;
  request.key = "secret-key";
  request.body = "body";
  http::request_header<> head;
  head.method(http::verb::post);
  head.target("/a?b=c");
  head.set(http::field::authorization, "Bearer secret-key");
  head.set("X-Copy", "it is secret-key");
  head.set("X-Workspace", "forged");
  head.set("X-Server", "forged");
  head.set("X-Other", "kept");
  head.set(http::field::connection, "X-Hop");
  head.set("X-Hop", "1");
  head.set(http::field::transfer_encoding, "chunked");
  const auto sent =
      HeadToBackend(head, request, "i-1", milliseconds(250), Names());
  for (const auto& field : sent)
    cr_expect(field.value().find("secret-key") == std::string_view::npos);
  cr_expect(sent["X-Workspace"] == "kandy");
  cr_expect(sent["X-Server"] == "i-1");
  cr_expect(sent["X-Deadline"] == "250");
  cr_expect(sent["X-Other"] == "kept");
  cr_expect(sent.count("X-Hop") == 0);
  cr_expect(sent["Content-Length"] == "4");
  cr_expect(sent.count(http::field::transfer_encoding) == 0);
  cr_expect(sent.target() == "/a?b=c");
}

Test(message_heads, parses_cookies_and_bearer_keys) {
  http::request_header<> head;
  head.set(http::field::cookie, "a=1; object=17;object2=3");
  cr_expect(CookieOf(head, "object") == "17");
  cr_expect(CookieOf(head, "b").empty());
  head.set(http::field::authorization, "bearer  k1 ");
  cr_expect(BearerKeyOf(head) == "k1");
  head.set(http::field::authorization, "Basic k1");
  cr_expect(BearerKeyOf(head).empty());
}

Test(message_heads, parses_loads_and_milliseconds) {
  http::response_header<> head;
  head.set("X-Load", "3, 1,8");
  const auto load = LoadOf(head, Names());
  cr_assert(load.has_value());
  cr_expect_eq(load->in_use, 3U);
  cr_expect_eq(load->queued, 1U);
  for (const char* text : {"", "3", "a,b", "-1,0,8", "3,99999999999,8"}) {
    head.set("X-Load", text);
    cr_expect(!LoadOf(head, Names()).has_value(), "%s", text);
  }
  cr_expect(MillisecondsOf("250") == milliseconds(250));
  for (const char* text : {"", "-1", "1.5", "x"})
    cr_expect(!MillisecondsOf(text).has_value(), "%s", text);
  cr_expect(MillisecondsOf("9223372036854775807") == std::chrono::hours(1));
}

Test(message_heads, a_carrier_gets_the_head_as_the_caller_sent_it) {
  GatewayRequest request;
  request.key = "secret-key";
  request.body = "body";
  http::request_header<> head;
  head.method(http::verb::post);
  head.target("/a?b=c");
  head.set(http::field::host, "h");
  head.set(http::field::authorization, "Bearer secret-key");
  head.set(http::field::transfer_encoding, "chunked");
  head.set(http::field::expect, "100-continue");
  head.set(http::field::connection, "keep-alive, X-Hop");
  head.set("X-Hop", "1");
  head.set("X-Id", "r1");
  head.set("X-Deadline", "9000");
  head.set("X-Comfreyvane-Carried", "forged");
  const auto sent = HeadToCarrier(head, request, milliseconds(700), Names());
  cr_expect(sent.method() == http::verb::post && sent.target() == "/a?b=c");
  cr_expect(sent[http::field::host] == "h");
  cr_expect(sent[http::field::authorization] == "Bearer secret-key",
            "the carrier checks the key as well");
  cr_expect(sent["X-Id"] == "r1");
  cr_expect(sent["X-Deadline"] == "700");
  cr_expect(sent[http::field::content_length] == "4");
  for (const char* dropped : {"Transfer-Encoding", "Expect", "Connection",
                              "X-Hop", "X-Comfreyvane-Carried"})
    cr_expect(sent.count(dropped) == 0U, "%s", dropped);
}
