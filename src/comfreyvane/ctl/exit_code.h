/// @file
/// Exit statuses of comfreyctl.
#ifndef COMFREYVANE_CTL_EXIT_CODE_H_
#define COMFREYVANE_CTL_EXIT_CODE_H_

namespace comfreyvane::ctl {

/// Exit status of comfreyctl.
enum class ExitCode {
  kDone = 0,
  kUsage = 1,           ///< The command line is wrong; nothing was asked.
  kInvalid = 2,         ///< A file is unreadable, malformed or cannot be met.
  kConflict = 3,        ///< Another change came first; nothing was changed.
  kUnreachable = 4,     ///< No host or not the platform; nothing was changed.
  kRefused = 5,         ///< The host refused, for the reason printed.
  kOutcomeUnknown = 6,  ///< It may have taken effect; repeat with the same id.
};

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_EXIT_CODE_H_
