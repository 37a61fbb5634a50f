/// @file
/// Forward declarations of package settings.
#ifndef COMFREYVANE_SETTINGS_FWD_H_
#define COMFREYVANE_SETTINGS_FWD_H_

namespace comfreyvane {

struct Endpoint;
struct HostSettings;
struct RequestLimits;
struct SettingRow;
struct SettingsError;
struct SettingsErrors;
struct TimeoutSettings;
struct TlsSettings;
class SettingsReader;
enum class SettingsErrorKind;

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_FWD_H_
