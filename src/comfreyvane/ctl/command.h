/// @file
/// Commands of comfreyctl.
#ifndef COMFREYVANE_CTL_COMMAND_H_
#define COMFREYVANE_CTL_COMMAND_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace comfreyvane::ctl {

/// What comfreyctl is told to do.
enum class Command {
  kCheck,
  kDiff,
  kApply,
  kStatus,
  kWithdrawKey,
  kDrainHost,
  kDrainServer,
  kExplain,
  kMakeKey,
};

/// Number of commands.
inline constexpr std::size_t kCommandCount =
    static_cast<std::size_t>(Command::kMakeKey) + 1;

/// @return the name on the command line, such as "withdraw-key".
[[nodiscard]] std::string_view Name(Command command);

/// @return one line on what it does.
[[nodiscard]] std::string_view Summary(Command command);

/// @return its arguments, such as "FILE [options]".
[[nodiscard]] std::string_view Synopsis(Command command);

/// @return paragraphs on what it does and answers.
[[nodiscard]] std::string_view Details(Command command);

/// @return the command of that name, or nothing.
[[nodiscard]] std::optional<Command> CommandNamed(std::string_view name);

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_COMMAND_H_
