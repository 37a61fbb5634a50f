/// @file
/// File that cannot be used.
#ifndef COMFREYVANE_CTL_FILE_ERROR_H_
#define COMFREYVANE_CTL_FILE_ERROR_H_

#include <filesystem>

namespace comfreyvane::ctl {

/// A file that cannot be read or made. Travels as a Boost.LEAF error object.
struct FileError {
  std::filesystem::path path;

  friend bool operator==(const FileError&, const FileError&) = default;
};

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_FILE_ERROR_H_
