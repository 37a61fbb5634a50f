/// @file
/// The settings that exist.
#ifndef COMFREYVANE_SETTINGS_SETTING_TABLE_H_
#define COMFREYVANE_SETTINGS_SETTING_TABLE_H_

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "comfreyvane/settings/host_settings.h"
#include "comfreyvane/settings/setting_parsers.h"

namespace comfreyvane {

/// One setting of the file.
struct SettingRow {
  std::string name;  ///< Such as "caller.port".
  bool required = false;
  std::string help;
  /// Parses a value into the settings.
  std::function<ParseFault(const std::string& text, HostSettings& settings)>
      parse;
};

/// @param folder what relative paths are relative to.
/// @return every setting, in the order of the settings page.
[[nodiscard]] std::vector<SettingRow> SettingTable(
    const std::filesystem::path& folder);

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_SETTING_TABLE_H_
