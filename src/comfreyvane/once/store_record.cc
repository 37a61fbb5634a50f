#include "comfreyvane/once/store_record.h"

#include <array>

#include "comfreyvane/once/hex.h"

namespace comfreyvane {
namespace {

constexpr std::size_t kFields = 6;
constexpr std::uint64_t kMaxHttpStatus = 999;

}  // namespace

std::string ToRowValue(const StoreRecord& record) {
  const std::array<std::uint64_t, kFields> fields{
      record.request.value(), record.owner.value(),  record.incarnation.value(),
      record.submission,      record.done ? 1U : 0U, record.status};
  std::string text;
  for (const std::uint64_t field : fields) {
    if (!text.empty())
      text.push_back('-');
    AppendHex(text, field);
  }
  return text;
}

std::optional<StoreRecord> ParseRowValue(std::string_view value) {
  std::array<std::uint64_t, kFields> fields{};
  if (!ParseHexFields(value, fields.data(), fields.size()))
    return std::nullopt;
  if (fields[4] > 1 || fields[5] > kMaxHttpStatus)
    return std::nullopt;
  return StoreRecord{.request = RequestId(fields[0]),
                     .owner = HostId(fields[1]),
                     .incarnation = Incarnation(fields[2]),
                     .submission = fields[3],
                     .done = fields[4] == 1,
                     .status = static_cast<std::uint16_t>(fields[5])};
}

}  // namespace comfreyvane
