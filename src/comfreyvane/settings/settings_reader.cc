#include "comfreyvane/settings/settings_reader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <istream>
#include <sstream>

#include "comfreyvane/settings/load_host_settings.h"

namespace comfreyvane {
namespace {

std::string Trimmed(std::string_view text) {
  static constexpr std::string_view kSpaces = " \t\r\n";
  const auto first = text.find_first_not_of(kSpaces);
  if (first == std::string_view::npos)
    return {};
  const auto last = text.find_last_not_of(kSpaces);
  return std::string(text.substr(first, last - first + 1));
}

bool IsSection(const std::string& line) {
  return line.size() > 2 && line.front() == '[' && line.back() == ']';
}

bool Overlap(const std::string& first, const std::string& second) {
  return first == second ||
         boost::asio::ip::make_address(first).is_unspecified() ||
         boost::asio::ip::make_address(second).is_unspecified();
}

}  // namespace

SettingsReader::SettingsReader(const std::filesystem::path& file)
    : file_(file.string()), table_(SettingTable(file.parent_path())) {}

void SettingsReader::Read(std::istream& in) {
  for (std::string line; std::getline(in, line);) {
    ++line_;
    ReadLine(Trimmed(line));
  }
  CheckMissing();
  CheckTls();
  CheckEndpoints();
  CheckSecret("peer.secret_file", settings_.peer_secret_file);
  CheckSecret("operator.token_file", settings_.operator_token_file);
}

void SettingsReader::ReadLine(const std::string& line) {
  if (IsSection(line)) {
    section_ = line;
    return;
  }
  namespace options = boost::program_options;
  std::istringstream in(section_ + '\n' + line + '\n');
  try {
    const auto parsed =
        options::parse_config_file(in, options::options_description(), true);
    for (const auto& option : parsed.options) {
      if (option.value.empty())
        AddError(line_, option.string_key, SettingsErrorKind::kSyntax);
      else
        ReadSetting(option.string_key, option.value.front());
    }
  } catch (const options::error&) {
    AddError(line_, "", SettingsErrorKind::kSyntax);
  }
}

void SettingsReader::ReadSetting(const std::string& name,
                                 const std::string& text) {
  const auto row =
      std::find_if(table_.begin(), table_.end(),
                   [&](const SettingRow& r) { return r.name == name; });
  if (row == table_.end()) {
    AddError(line_, name, SettingsErrorKind::kUnknown);
    return;
  }
  if (!lines_by_name_.emplace(name, line_).second) {
    AddError(line_, name, SettingsErrorKind::kDuplicate);
    return;
  }
  if (const ParseFault fault = row->parse(text, settings_))
    AddError(line_, name, *fault);
}

void SettingsReader::CheckMissing() {
  for (const SettingRow& row : table_) {
    if (row.required && !lines_by_name_.contains(row.name))
      AddError(0, row.name, SettingsErrorKind::kMissing);
  }
}

void SettingsReader::CheckTls() {
  const std::string certificate = "tls.certificate_file";
  const std::string private_key = "tls.private_key_file";
  const bool has_certificate = lines_by_name_.contains(certificate);
  const bool has_private_key = lines_by_name_.contains(private_key);
  if (has_certificate && !has_private_key)
    AddError(LineOf(certificate), private_key, SettingsErrorKind::kIncomplete);
  if (has_private_key && !has_certificate)
    AddError(LineOf(private_key), certificate, SettingsErrorKind::kIncomplete);
}

void SettingsReader::CheckEndpoints() {
  const Endpoint& caller = settings_.caller;
  const Endpoint& peer = settings_.peer;
  if (caller.address.empty() || peer.address.empty() || peer.port == 0)
    return;
  if (caller.port == peer.port && Overlap(caller.address, peer.address))
    AddError(LineOf("peer.port"), "peer.port",
             SettingsErrorKind::kEndpointsCollide);
}

void SettingsReader::CheckSecret(const std::string& name,
                                 const std::filesystem::path& path) {
  if (!path.empty() && ReadSecretFile(path).size() < kMinSecretBytes)
    AddError(LineOf(name), name, SettingsErrorKind::kTooShort);
}

void SettingsReader::AddError(std::size_t line,
                              const std::string& name,
                              SettingsErrorKind kind) {
  errors_.push_back({file_, line, name, kind});
}

std::size_t SettingsReader::LineOf(const std::string& name) const {
  const auto found = lines_by_name_.find(name);
  return found == lines_by_name_.end() ? 0 : found->second;
}

std::vector<SettingsError> SettingsReader::errors() const {
  std::vector<SettingsError> sorted = errors_;
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const auto& a, const auto& b) { return a.line < b.line; });
  return sorted;
}

}  // namespace comfreyvane
