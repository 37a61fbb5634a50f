/// @file
/// Forward declarations of package ctl.
#ifndef COMFREYVANE_CTL_FWD_H_
#define COMFREYVANE_CTL_FWD_H_

namespace comfreyvane::ctl {

class Commands;
class OperatorClient;
struct ArgumentError;
struct Arguments;
struct AttemptedBase;
struct FileError;
struct HostAddress;
struct HttpReply;
struct HttpRequest;
enum class ArgumentErrorKind;
enum class Command;
enum class ExitCode;
enum class TransportError;

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_FWD_H_
