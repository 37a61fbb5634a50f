/// @file
/// Parsing of the command line.
#ifndef COMFREYVANE_CTL_PARSE_ARGUMENTS_H_
#define COMFREYVANE_CTL_PARSE_ARGUMENTS_H_

#include <boost/leaf/result.hpp>
#include <iosfwd>
#include <string>
#include <vector>

#include "comfreyvane/ctl/argument_error.h"
#include "comfreyvane/ctl/arguments.h"

namespace comfreyvane::ctl {

/// @param words the command line without the program's name.
/// @return the arguments, or the error object ArgumentError. With --help after
///         a command nothing else is checked.
[[nodiscard]] boost::leaf::result<Arguments> ParseArguments(
    const std::vector<std::string>& words);

/// Writes the list of commands and exit statuses.
void WriteHelp(std::ostream& out);

/// Writes what one command does and its options.
void WriteHelp(Command command, std::ostream& out);

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_PARSE_ARGUMENTS_H_
