#include "comfreyvane/net/base64.h"

#include "support/criterion.h"

using namespace comfreyvane;

// Vectors of RFC 4648, section 10.
Test(base64, encodes_and_decodes_the_vectors_of_its_standard) {
  const std::pair<const char*, const char*> kVectors[] = {
      {"", ""},
      {"f", "Zg=="},
      {"fo", "Zm8="},
      {"foo", "Zm9v"},
      {"foob", "Zm9vYg=="},
      {"fooba", "Zm9vYmE="},
      {"foobar", "Zm9vYmFy"}};
  for (const auto& [bytes, text] : kVectors) {
    cr_expect(EncodeBase64(bytes) == text, "%s", bytes);
    cr_expect(DecodeBase64(text) == std::string(bytes), "%s", text);
  }
}

Test(base64, carries_any_byte) {
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte)
    bytes.push_back(static_cast<char>(byte));
  cr_expect(DecodeBase64(EncodeBase64(bytes)) == bytes);
}

Test(base64, refuses_other_texts) {
  for (const char* text : {"Zg=", "Z", "Zg==Z", "====", "Z!==", "Zm9v Zg="})
    cr_expect(!DecodeBase64(text), "%s", text);
}
