/// @file
/// Reader of a settings file.
#ifndef COMFREYVANE_SETTINGS_SETTINGS_READER_H_
#define COMFREYVANE_SETTINGS_SETTINGS_READER_H_

#include <filesystem>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "comfreyvane/settings/host_settings.h"
#include "comfreyvane/settings/setting_table.h"
#include "comfreyvane/settings/settings_error.h"

namespace comfreyvane {

/// Reads settings line by line, each by Boost.Program_options, which knows no
/// line numbers and would stop at the first fault of a whole file.
class SettingsReader {
 public:
  /// @param file the name that errors carry; relative paths are relative to
  ///        its folder.
  explicit SettingsReader(const std::filesystem::path& file);

  /// Reads all lines and checks what concerns several settings.
  void Read(std::istream& in);

  [[nodiscard]] const HostSettings& settings() const { return settings_; }

  /// @return every fault, by line.
  [[nodiscard]] std::vector<SettingsError> errors() const;

 private:
  void ReadLine(const std::string& line);
  void ReadSetting(const std::string& name, const std::string& text);
  void CheckMissing();
  void CheckTls();
  void CheckEndpoints();
  void CheckSecret(const std::string& name, const std::filesystem::path& path);
  void AddError(std::size_t line,
                const std::string& name,
                SettingsErrorKind kind);
  [[nodiscard]] std::size_t LineOf(const std::string& name) const;

  std::string file_;
  std::vector<SettingRow> table_;
  std::string section_;
  std::size_t line_ = 0;
  std::map<std::string, std::size_t> lines_by_name_;
  HostSettings settings_;
  std::vector<SettingsError> errors_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_SETTINGS_READER_H_
