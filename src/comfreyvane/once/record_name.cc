#include "comfreyvane/once/record_name.h"

#include <array>
#include <boost/leaf/error.hpp>
#include <initializer_list>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/once/hex.h"

namespace comfreyvane {
namespace {

constexpr std::string_view kRoot = "once/";
constexpr std::size_t kFields = 6;

std::string JoinHex(std::initializer_list<std::uint64_t> fields) {
  std::string text;
  for (const std::uint64_t field : fields) {
    if (!text.empty())
      text.push_back('-');
    AppendHex(text, field);
  }
  return text;
}

std::string ServicePrefix(ServiceId service) {
  std::string text(kRoot);
  AppendHex(text, service.value());
  text.push_back('/');
  return text;
}

}  // namespace

std::string ToText(const RecordName& name) {
  return JoinHex({name.service.value(), name.workspace.value(), name.epoch,
                  name.issuer.value(), name.incarnation.value(), name.serial});
}

boost::leaf::result<RecordName> ParseRecordName(std::string_view text) {
  std::array<std::uint64_t, kFields> fields{};
  if (!ParseHexFields(text, fields.data(), fields.size())) {
    return boost::leaf::new_error(
        Refusal{RefusalReason::kMalformedRequest, RunState::kUnknown});
  }
  return RecordName{.service = ServiceId(fields[0]),
                    .workspace = WorkspaceId(fields[1]),
                    .epoch = fields[2],
                    .issuer = HostId(fields[3]),
                    .incarnation = Incarnation(fields[4]),
                    .serial = fields[5]};
}

std::string RowKey(const RecordName& name) {
  return EpochPrefix(name.service, name.epoch) +
         JoinHex({name.workspace.value(), name.issuer.value(),
                  name.incarnation.value(), name.serial});
}

std::string EpochPrefix(ServiceId service, std::uint64_t epoch) {
  std::string text = ServicePrefix(service);
  AppendHex(text, epoch);
  text.push_back('/');
  return text;
}

std::string EpochKey(ServiceId service) {
  return ServicePrefix(service) + "epoch";
}

}  // namespace comfreyvane
