/// @file
/// comfreyctl as a function.
#ifndef COMFREYVANE_CTL_RUN_H_
#define COMFREYVANE_CTL_RUN_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "comfreyvane/ctl/exchange.h"
#include "comfreyvane/ctl/exit_code.h"

namespace comfreyvane::ctl {

/// Runs one command line.
/// @param words the command line without the program's name.
/// @param out gets answers.
/// @param errors gets faults.
/// @param exchange sends requests to hosts.
/// @return the exit status.
[[nodiscard]] ExitCode Run(const std::vector<std::string>& words,
                           std::ostream& out,
                           std::ostream& errors,
                           const Exchange& exchange);

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_RUN_H_
