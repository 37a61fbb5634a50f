/// @file
/// Fault of a command line.
#ifndef COMFREYVANE_CTL_ARGUMENT_ERROR_H_
#define COMFREYVANE_CTL_ARGUMENT_ERROR_H_

#include <iosfwd>
#include <string>
#include <string_view>

namespace comfreyvane::ctl {

/// What is wrong with a command line.
enum class ArgumentErrorKind {
  kNoCommand,
  kUnknownCommand,
  kMalformedOption,  ///< Unknown, ambiguous, repeated or without a value.
  kMissingOperand,   ///< A file or a name.
  kTooManyOperands,
  kMissingHost,       ///< The command needs --host.
  kMissingTokenFile,  ///< --host needs --token-file.
  kMissingBase,       ///< A repeated apply needs the base of the first try.
  kMalformedHost,     ///< Not ADDRESS:PORT with an IP address.
  kMalformedTimeout,  ///< Not from 1 to 600000 milliseconds.
  kMissingSubject,    ///< explain needs a request, or a client and a service.
};

/// @return a phrase for people.
[[nodiscard]] std::string_view Name(ArgumentErrorKind kind);

/// The first fault of a command line. Travels as a Boost.LEAF error object.
struct ArgumentError {
  ArgumentErrorKind kind = ArgumentErrorKind::kNoCommand;
  std::string argument;  ///< The argument at fault, if one is.

  friend bool operator==(const ArgumentError&, const ArgumentError&) = default;
};

/// Writes "missing option: --host".
std::ostream& operator<<(std::ostream& out, const ArgumentError& error);

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_ARGUMENT_ERROR_H_
