#include "comfreyvane/ctl/files.h"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <iterator>

#include "comfreyvane/config/codec.h"
#include "comfreyvane/ctl/file_error.h"

namespace comfreyvane::ctl {
namespace {

std::string ReadAll(std::istream& in) {
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

}  // namespace

boost::leaf::result<Configuration> ReadConfigurationFile(
    const std::filesystem::path& path) {
  if (path == "-")
    return Parse(ReadAll(std::cin));
  std::error_code error;
  std::ifstream file(path);
  if (!file || std::filesystem::is_directory(path, error))
    return boost::leaf::new_error(FileError{path});
  return Parse(ReadAll(file));
}

boost::leaf::result<std::string> ReadTokenFile(
    const std::filesystem::path& path) {
  std::ifstream file(path);
  std::string token;
  if (!(file >> token))
    return boost::leaf::new_error(FileError{path});
  return token;
}

boost::leaf::result<void> WriteKeyFile(const std::filesystem::path& path,
                                       const CallerKey& key) {
  static constexpr mode_t kOwnerOnly = 0600;
  const int file =
      open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kOwnerOnly);
  if (file < 0)
    return boost::leaf::new_error(FileError{path});
  const std::string line = std::string(key.Reveal()) + '\n';
  const bool written = write(file, line.data(), line.size()) ==
                       static_cast<ssize_t>(line.size());
  if (close(file) != 0 || !written)
    return boost::leaf::new_error(FileError{path});
  return {};
}

}  // namespace comfreyvane::ctl
