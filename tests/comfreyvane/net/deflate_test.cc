#include "comfreyvane/net/deflate.h"

#include <string>

#include "comfreyvane/base/random_source.h"
#include "support/criterion.h"

using namespace comfreyvane;

namespace {

constexpr std::size_t kMaxBytes = std::size_t{4} * 1024 * 1024;

std::string RandomText(RandomSource& random, std::size_t size) {
  std::string text;
  while (text.size() < size) {
    text += R"({"Prefix":"/)" + std::to_string(random.Below(1U << 30U)) +
            R"(/","Kind":"idempotent"},)";
  }
  return text;
}

}  // namespace

Test(deflate, returns_the_text) {
  RandomSource random(1);
  for (const std::size_t size : {0U, 1U, 1000U, 70'000U, 1'000'000U}) {
    const std::string text = RandomText(random, size);
    const auto out = Inflate(Deflate(text), kMaxBytes);
    cr_assert(out, "%zu bytes", size);
    cr_expect(*out == text);
  }
}

Test(deflate, compresses_repeated_text) {
  RandomSource random(1);
  const std::string text = RandomText(random, 1'000'000);
  cr_expect_lt(Deflate(text).size(), text.size() / 3);
}

Test(deflate, rejects_malformed_and_large_streams) {
  RandomSource random(1);
  const std::string text = RandomText(random, 100'000);
  const std::string stream = Deflate(text);
  cr_expect(!Inflate(stream, text.size() - 1));
  cr_expect(!Inflate(stream.substr(0, stream.size() / 2), kMaxBytes));
  cr_expect(!Inflate("", kMaxBytes));
  for (int i = 0; i < 200; ++i) {
    std::string changed = stream;
    changed[random.Below(changed.size())] ^=
        static_cast<char>(1 + random.Below(255));
    const auto out = Inflate(changed, kMaxBytes);
    cr_expect(!out || out->size() <= kMaxBytes);
  }
}
