#include "comfreyvane/settings/load_host_settings.h"

#include <fstream>

#include "comfreyvane/settings/settings_reader.h"

namespace comfreyvane {

boost::leaf::result<HostSettings> LoadHostSettings(
    const std::filesystem::path& path) {
  std::error_code error;
  std::ifstream file(path);
  if (!file || !std::filesystem::is_regular_file(path, error)) {
    return boost::leaf::new_error(SettingsErrors{
        {{path.string(), 0, "", SettingsErrorKind::kFileUnreadable}}});
  }
  SettingsReader reader(path);
  reader.Read(file);
  SettingsErrors errors{reader.errors()};
  if (!errors.errors.empty())
    return boost::leaf::new_error(std::move(errors));
  return reader.settings();
}

std::string ReadSecretFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::string text;
  std::getline(file, text);
  static constexpr std::string_view kSpaces = " \t\r";
  text.erase(0, text.find_first_not_of(kSpaces));
  text.erase(text.find_last_not_of(kSpaces) + 1);
  return text;
}

}  // namespace comfreyvane
