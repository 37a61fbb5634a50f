#include "comfreyvane/ctl/command.h"

#include <array>
#include <cassert>

namespace comfreyvane::ctl {
namespace {

struct CommandRow {
  Command command;
  std::string_view name;
  std::string_view synopsis;
  std::string_view summary;
  std::string_view details;
};

constexpr std::array<CommandRow, kCommandCount> kRows{{
    {Command::kCheck, "check", "FILE [--host ADDRESS:PORT --token-file FILE]",
     "check a configuration",
     "Lists every reason for which the configuration cannot be met. With a\n"
     "host, also lists what would change against the accepted configuration.\n"
     "Changes nothing.\n"},
    {Command::kDiff, "diff",
     "OLD NEW | NEW --host ADDRESS:PORT --token-file FILE",
     "list what differs between two configurations",
     "Compares two files, or a file with the accepted configuration. Objects\n"
     "that only moved within a file do not differ. Changes nothing.\n"},
    {Command::kApply, "apply", "FILE --host ADDRESS:PORT --token-file FILE",
     "make a configuration the accepted one",
     "Checks the file, then offers it as the revision that follows --base.\n"
     "Without --base the revision accepted now is taken, so that only a "
     "change\n"
     "made while the command runs is a conflict; give the revision you "
     "reviewed\n"
     "against to be safe from all others. Nothing is ever half applied.\n"
     "An answer lost on the way is asked for again under the same request id.\n"
     "Accepted is not yet in force everywhere: see status.\n"},
    {Command::kStatus, "status", "--host ADDRESS:PORT --token-file FILE",
     "show revisions, hosts and shares",
     "Shows the accepted revision, the one in force on every host heard, "
     "which\n"
     "hosts lag, and where each service's traffic goes against where it "
     "should,\n"
     "with the reason where a shift stands still.\n"},
    {Command::kWithdrawKey, "withdraw-key",
     "KEY_ID --host ADDRESS:PORT --token-file FILE", "withdraw a caller's key",
     "Accepts a revision in which the key of this identifier is withdrawn. It\n"
     "stops working on every reachable host within seconds, also on open\n"
     "connections. A key that is withdrawn already stays so.\n"},
    {Command::kDrainHost, "drain-host",
     "NAME --host ADDRESS:PORT --token-file FILE",
     "tell an entry host to leave",
     "The host leaves steering answers, finishes the requests it runs, and\n"
     "stops. No request is cut.\n"},
    {Command::kDrainServer, "drain-server",
     "NAME --host ADDRESS:PORT --token-file FILE",
     "give a backend server no new work",
     "Accepts a revision in which the backend server is leaving. It gets no "
     "new\n"
     "work after a few seconds and finishes what it runs. Refused if a site\n"
     "with a share would be left without a server.\n"},
    {Command::kExplain, "explain",
     "(--request ID | --client ADDRESS --service NAME) --host ADDRESS:PORT\n"
     "  --token-file FILE",
     "show why a decision was made",
     "Prints each decision on a request, or the present steering decision for "
     "a\n"
     "client, with its rule, its inputs and the revision behind it.\n"},
    {Command::kMakeKey, "make-key", "FILE", "make a caller's key",
     "Writes a new random key to a file that must not exist yet, readable by\n"
     "its owner only, and prints the hash that the configuration takes. Hand\n"
     "the file to the workspace's owner and keep no copy.\n"},
}};

const CommandRow& Row(Command command) {
  const auto index = static_cast<std::size_t>(command);
  assert(index < kRows.size());
  assert(kRows[index].command == command);
  return kRows[index];
}

}  // namespace

std::string_view Name(Command command) {
  return Row(command).name;
}

std::string_view Summary(Command command) {
  return Row(command).summary;
}

std::string_view Synopsis(Command command) {
  return Row(command).synopsis;
}

std::string_view Details(Command command) {
  return Row(command).details;
}

std::optional<Command> CommandNamed(std::string_view name) {
  for (const CommandRow& row : kRows) {
    if (row.name == name)
      return row.command;
  }
  return std::nullopt;
}

}  // namespace comfreyvane::ctl
