#include "comfreyvane/gateway/relay_codec.h"

#include "comfreyvane/base/random_source.h"
#include "support/criterion.h"

using namespace comfreyvane;

namespace {

RelayAnswer FullAnswer() {
  RelayAnswer answer;
  answer.status = RelayStatus::kDone;
  for (std::size_t i = 0; i < kStoreTables; ++i) {
    answer.feeds[i].status = TableStatus::kDone;
    answer.feeds[i].position = Revision(40 + i);
  }
  answer.feeds[1].rows = {{"server-1", "{\"a\":\"\xff\x00\"}", Revision(41)},
                          {std::string("g\0ne", 4), "", Revision()}};
  return answer;
}

}  // namespace

Test(relay_codec, encodes_and_decodes_calls) {
  const RelayCall call{7,
                       3,
                       std::chrono::milliseconds(900),
                       {Revision(1), Revision(2), Revision(1ULL << 63U)}};
  cr_expect(ParseRelayCall(EncodeRelayCall(call)) == call);
}

Test(relay_codec, rejects_invalid_targets) {
  for (const char* target :
       {"", "/", "changes", "/changes", "/changes?position=1",
        "/changes?position=1&position=2&position=3&position=4",
        "/changes?position=1&position=2&position=x",
        "/changes?position=1&position=2&position=-3",
        "/changes?wait_ms=99999999&position=1&position=2&position=3",
        "/changes?other=1&position=1&position=2&position=3",
        "/other?position=1&position=2&position=3"})
    cr_expect(!ParseRelayCall(target), "%s", target);
}

Test(relay_codec, encodes_and_decodes_arbitrary_bytes) {
  cr_expect(ParseRelayAnswer(EncodeRelayAnswer(FullAnswer())) == FullAnswer());
}

Test(relay_codec, encodes_and_decodes_eras) {
  cr_expect(ParseRelayEra(EncodeRelayEra(1ULL << 63U)) == 1ULL << 63U);
  for (const char* text : {"", "[]", "{}", R"({"era":-1})", R"({"era":"1"})"})
    cr_expect(ParseRelayEra(text) == 0, "%s", text);
}

Test(relay_codec, rejects_invalid_answers) {
  for (const char* text :
       {"", "{}", "[]", "[1,2,3]", "[{},{},{}]",
        R"([{"position":1,"rows":[]},{"position":1,"rows":[]}])",
        R"([{"position":1,"rows":[["!","",1]]},{"position":1,"rows":[]},)"
        R"({"position":1,"rows":[]}])",
        R"([{"position":-1,"rows":[]},{"position":1,"rows":[]},)"
        R"({"position":1,"rows":[]}])"})
    cr_expect(!ParseRelayAnswer(text), "%s", text);
}

Test(relay_codec, handles_corrupted_answers) {
  const std::string text = EncodeRelayAnswer(FullAnswer());
  RandomSource random(1);
  for (int i = 0; i < 5000; ++i) {
    std::string changed = text;
    changed[random.Below(changed.size())] =
        static_cast<char>(random.Below(256));
    static_cast<void>(ParseRelayAnswer(changed));
  }
}

Test(relay_codec, reads_and_writes_messages_of_earlier_builds) {
  // As builds 73f237c and f57ed58 write them; those refuse without a body.
  const std::string target =
      "/changes?nonce=7&era=3&wait_ms=1000&position=1&position=2&position=3";
  const auto call = ParseRelayCall(target);
  cr_assert(call.has_value());
  cr_expect(EncodeRelayCall(*call) == target);
  const std::string text =
      R"([{"position":40,"rows":[["YQ==","Yg==",40]]},)"
      R"({"position":41,"rows":[]},{"position":42,"rows":[]}])";
  const auto answer = ParseRelayAnswer(text);
  cr_assert(answer.has_value());
  cr_expect(EncodeRelayAnswer(*answer) == text);
  cr_expect(ParseRelayEra("") == 0);
}
