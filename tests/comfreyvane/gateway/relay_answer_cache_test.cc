#include "comfreyvane/gateway/relay_answer_cache.h"

#include <chrono>
#include <string>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/gateway/relay_codec.h"
#include "support/criterion.h"

using namespace comfreyvane;

namespace {

constexpr int kRoutes = 2800;

/// @return a configuration of many routes, as the operator writes it.
std::string LargeConfiguration(RandomSource& random) {
  std::string text = R"({"Resources":[)";
  for (int i = 0; i < kRoutes; ++i) {
    const std::string name = std::to_string(random.Below(1U << 30U));
    text += R"({"ResourceKind":"Routes","Metadata":{"Name":"r-)" + name +
            R"("},"Spec":{"Host":"h.example","Prefix":"/)" + name +
            R"(/","Kind":"non_idempotent","TimeoutMs":4000,)"
            R"("TargetLatencyMs":1000,"Priority":1,"Service":"s",)"
            R"("MaxAttempts":2,"Public":false,"Sticky":true,)"
            R"("AllowedRegions":[]}},)";
  }
  return text + "{}]}";
}

RelayAnswer AnswerWith(std::string value, std::uint64_t position) {
  RelayAnswer answer;
  answer.status = RelayStatus::kDone;
  for (TableFeed& feed : answer.feeds)
    feed.status = TableStatus::kDone;
  answer.feeds[0].position = Revision(position);
  answer.feeds[0].rows = {{"config", std::move(value), Revision(position)}};
  answer.confirmed_before = std::chrono::milliseconds(-120);
  return answer;
}

}  // namespace

Test(relay_answer_cache, compresses_large_answers_eight_times) {
  RandomSource random(1);
  const RelayAnswer answer = AnswerWith(LargeConfiguration(random), 9);
  cr_assert(RelayAnswerCache::IsLarge(answer));
  cr_expect(!RelayAnswerCache::IsLarge(AnswerWith("{}", 9)));
  RelayAnswerCache cache;
  const std::string text =
      EncodeCompressedAnswer(answer, cache.Encode(RelayCall{}, answer));
  cr_expect_lt(8 * text.size(), EncodeRelayAnswer(answer).size());
  cr_expect(ParseCompressedAnswer(text) == answer);
}

Test(relay_answer_cache, tells_answers_apart) {
  RelayAnswerCache cache;
  const RelayAnswer first = AnswerWith("first", 9);
  const RelayAnswer second = AnswerWith("second", 11);
  RelayCall later;
  later.positions[0] = Revision(10);
  for (int round = 0; round < 2; ++round) {
    cr_expect(ParseCompressedAnswer(EncodeCompressedAnswer(
                  first, cache.Encode(RelayCall{}, first))) == first);
    cr_expect(ParseCompressedAnswer(EncodeCompressedAnswer(
                  second, cache.Encode(RelayCall{}, second))) == second);
    cr_expect(ParseCompressedAnswer(EncodeCompressedAnswer(
                  second, cache.Encode(later, second))) == second);
  }
}

Test(relay_answer_cache, rejects_invalid_texts) {
  RelayAnswerCache cache;
  const RelayAnswer answer = AnswerWith("value", 9);
  const std::string text =
      EncodeCompressedAnswer(answer, cache.Encode(RelayCall{}, answer));
  cr_expect(!ParseCompressedAnswer(""));
  cr_expect(!ParseCompressedAnswer("12"));
  cr_expect(!ParseCompressedAnswer("x\n" + text.substr(text.find('\n') + 1)));
  cr_expect(!ParseCompressedAnswer(text.substr(0, text.size() - 9)));
  RandomSource random(1);
  for (int i = 0; i < 2000; ++i) {
    std::string changed = text;
    changed[random.Below(changed.size())] =
        static_cast<char>(random.Below(256));
    static_cast<void>(ParseCompressedAnswer(changed));
  }
}
