#include "comfreyvane/ctl/argument_error.h"

#include <ostream>

namespace comfreyvane::ctl {

std::string_view Name(ArgumentErrorKind kind) {
  switch (kind) {
    case ArgumentErrorKind::kNoCommand:
      return "no command given";
    case ArgumentErrorKind::kUnknownCommand:
      return "unknown command";
    case ArgumentErrorKind::kMalformedOption:
      return "malformed option";
    case ArgumentErrorKind::kMissingOperand:
      return "missing argument";
    case ArgumentErrorKind::kTooManyOperands:
      return "too many arguments";
    case ArgumentErrorKind::kMissingHost:
    case ArgumentErrorKind::kMissingTokenFile:
    case ArgumentErrorKind::kMissingBase:
      return "missing option";
    case ArgumentErrorKind::kMalformedHost:
      return "not an IP address and port";
    case ArgumentErrorKind::kMalformedTimeout:
      return "timeout not from 1 to 600000 ms";
    case ArgumentErrorKind::kMissingSubject:
      return "give --request, or --client and --service";
  }
  return "malformed command line";
}

std::ostream& operator<<(std::ostream& out, const ArgumentError& error) {
  out << Name(error.kind);
  if (!error.argument.empty())
    out << ": " << error.argument;
  return out;
}

}  // namespace comfreyvane::ctl
