#include "comfreyvane/settings/settings_error_kind.h"

namespace comfreyvane {

std::string_view Name(SettingsErrorKind kind) {
  switch (kind) {
    case SettingsErrorKind::kFileUnreadable:
      return "file-unreadable";
    case SettingsErrorKind::kSyntax:
      return "syntax";
    case SettingsErrorKind::kUnknown:
      return "unknown";
    case SettingsErrorKind::kMissing:
      return "missing";
    case SettingsErrorKind::kDuplicate:
      return "duplicate";
    case SettingsErrorKind::kNotAName:
      return "not-a-name";
    case SettingsErrorKind::kNotAnIpAddress:
      return "not-an-ip-address";
    case SettingsErrorKind::kNotAPort:
      return "not-a-port";
    case SettingsErrorKind::kNotANumber:
      return "not-a-number";
    case SettingsErrorKind::kOutOfRange:
      return "out-of-range";
    case SettingsErrorKind::kNotALogLevel:
      return "not-a-log-level";
    case SettingsErrorKind::kPathUnreadable:
      return "path-unreadable";
    case SettingsErrorKind::kTooShort:
      return "too-short";
    case SettingsErrorKind::kIncomplete:
      return "incomplete";
    case SettingsErrorKind::kEndpointsCollide:
      return "endpoints-collide";
  }
  return "unknown";
}

}  // namespace comfreyvane
