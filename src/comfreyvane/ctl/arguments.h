/// @file
/// Arguments of comfreyctl.
#ifndef COMFREYVANE_CTL_ARGUMENTS_H_
#define COMFREYVANE_CTL_ARGUMENTS_H_

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/ctl/command.h"
#include "comfreyvane/ctl/host_address.h"
#include "comfreyvane/operate/explain_query.h"

namespace comfreyvane::ctl {

/// A checked command line.
struct Arguments {
  Command command = Command::kStatus;
  std::vector<std::string> operands;  ///< Files or a name.
  std::vector<HostAddress> hosts;     ///< Tried in this order.
  std::filesystem::path token_file;
  std::optional<Revision> base;
  std::string request_id;  ///< Empty: a new one is made.
  ExplainQuery explain;
  std::chrono::milliseconds timeout{5000};
  bool json = false;
  bool help = false;

  friend bool operator==(const Arguments&, const Arguments&) = default;
};

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_ARGUMENTS_H_
