/// @file
/// Settings of TLS towards callers.
#ifndef COMFREYVANE_SETTINGS_TLS_SETTINGS_H_
#define COMFREYVANE_SETTINGS_TLS_SETTINGS_H_

#include <filesystem>

namespace comfreyvane {

/// Certificate for callers, in PEM.
struct TlsSettings {
  std::filesystem::path certificate_file;
  std::filesystem::path private_key_file;

  friend bool operator==(const TlsSettings&, const TlsSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_TLS_SETTINGS_H_
