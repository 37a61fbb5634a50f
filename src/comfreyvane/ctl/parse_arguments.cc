#include "comfreyvane/ctl/parse_arguments.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>
#include <iomanip>
#include <ostream>

namespace comfreyvane::ctl {
namespace {

namespace options = boost::program_options;
using Kind = ArgumentErrorKind;

constexpr std::uint32_t kMaxTimeoutMs = 600000;
constexpr unsigned kColumns = 79;
constexpr int kNameColumns = 14;

/// How many operands a command takes, and whether it needs a host.
struct Shape {
  std::size_t least = 0;
  std::size_t most = 0;
  bool needs_host = false;
};

Shape ShapeOf(const Arguments& arguments) {
  switch (arguments.command) {
    case Command::kCheck:
    case Command::kMakeKey:
      return {1, 1, false};
    case Command::kDiff:
      return arguments.hosts.empty() ? Shape{2, 2, false} : Shape{1, 1, true};
    case Command::kApply:
    case Command::kWithdrawKey:
    case Command::kDrainHost:
    case Command::kDrainServer:
      return {1, 1, true};
    case Command::kStatus:
    case Command::kExplain:
      return {0, 0, true};
  }
  return {};
}

bool Reads(Command command) {
  return command == Command::kCheck || command == Command::kDiff ||
         command == Command::kStatus || command == Command::kExplain;
}

bool Changes(Command command) {
  return command != Command::kMakeKey && !Reads(command);
}

options::options_description VisibleOptions(Command command) {
  options::options_description visible("Options", kColumns);
  auto add = visible.add_options();
  add("help", "show this help");
  if (command == Command::kMakeKey)
    return visible;
  add("host", options::value<std::vector<std::string>>()->composing(),
      "address and peer port of an entry host; several are tried in turn");
  add("token-file", options::value<std::string>(),
      "file with the operators' token");
  add("timeout-ms", options::value<std::uint32_t>()->default_value(5000),
      "how long to wait for each host");
  if (Reads(command))
    add("json", "print the answer as one line of JSON");
  if (Changes(command))
    add("request-id", options::value<std::string>(),
        "identifier of a try whose answer was lost; new by default");
  if (command == Command::kApply)
    add("base", options::value<std::uint64_t>(),
        "revision that the change was made from");
  if (command == Command::kExplain) {
    add("request", options::value<std::string>(),
        "identifier of a request, from an answer or a log");
    add("client", options::value<std::string>(), "IP address of a client");
    add("service", options::value<std::string>(), "name of a service");
  }
  return visible;
}

options::variables_map Parsed(Command command,
                              const std::vector<std::string>& words) {
  options::options_description all = VisibleOptions(command);
  all.add_options()("operand", options::value<std::vector<std::string>>());
  options::positional_options_description positional;
  positional.add("operand", -1);
  options::variables_map map;
  static constexpr int kStyle = options::command_line_style::unix_style &
                                ~options::command_line_style::allow_guessing;
  options::store(options::command_line_parser(words)
                     .options(all)
                     .positional(positional)
                     .style(kStyle)
                     .run(),
                 map);
  return map;
}

template <typename T>
T ValueOr(const options::variables_map& map, const char* name, T otherwise) {
  return map.count(name) == 0 ? otherwise : map[name].as<T>();
}

std::string Text(const options::variables_map& map, const char* name) {
  return ValueOr<std::string>(map, name, "");
}

boost::leaf::result<Arguments> FromMap(Command command,
                                       const options::variables_map& map) {
  using Words = std::vector<std::string>;
  Arguments arguments;
  arguments.command = command;
  arguments.help = map.count("help") != 0;
  arguments.json = map.count("json") != 0;
  arguments.operands = ValueOr<Words>(map, "operand", {});
  arguments.token_file = Text(map, "token-file");
  arguments.request_id = Text(map, "request-id");
  arguments.explain = {Text(map, "request"), Text(map, "client"),
                       Text(map, "service")};
  if (map.count("base") != 0)
    arguments.base = Revision(map["base"].as<std::uint64_t>());
  const auto timeout = ValueOr<std::uint32_t>(map, "timeout-ms", 1);
  if (timeout == 0 || timeout > kMaxTimeoutMs)
    return boost::leaf::new_error(
        ArgumentError{Kind::kMalformedTimeout, std::to_string(timeout)});
  arguments.timeout = std::chrono::milliseconds(timeout);
  for (const std::string& text : ValueOr<Words>(map, "host", {})) {
    const auto host = ParseHostAddress(text);
    if (!host)
      return boost::leaf::new_error(ArgumentError{Kind::kMalformedHost, text});
    arguments.hosts.push_back(*host);
  }
  return arguments;
}

boost::leaf::result<void> CheckSubject(const Arguments& arguments) {
  const ExplainQuery& query = arguments.explain;
  const bool by_request =
      !query.request.empty() && query.client.empty() && query.service.empty();
  const bool by_client =
      query.request.empty() && !query.client.empty() && !query.service.empty();
  if (arguments.command == Command::kExplain && !by_request && !by_client)
    return boost::leaf::new_error(ArgumentError{Kind::kMissingSubject, ""});
  return {};
}

boost::leaf::result<void> CheckShape(const Arguments& arguments) {
  const Shape shape = ShapeOf(arguments);
  const auto fault = [](Kind kind, std::string argument) {
    return boost::leaf::new_error(ArgumentError{kind, std::move(argument)});
  };
  if (arguments.operands.size() < shape.least)
    return fault(Kind::kMissingOperand, "");
  if (arguments.operands.size() > shape.most)
    return fault(Kind::kTooManyOperands, arguments.operands[shape.most]);
  if (shape.needs_host && arguments.hosts.empty())
    return fault(Kind::kMissingHost, "--host");
  if (!arguments.hosts.empty() && arguments.token_file.empty())
    return fault(Kind::kMissingTokenFile, "--token-file");
  if (arguments.command == Command::kApply && !arguments.request_id.empty() &&
      !arguments.base)
    return fault(Kind::kMissingBase, "--base");
  return CheckSubject(arguments);
}

}  // namespace

boost::leaf::result<Arguments> ParseArguments(
    const std::vector<std::string>& words) {
  if (words.empty())
    return boost::leaf::new_error(ArgumentError{Kind::kNoCommand, ""});
  const auto command = CommandNamed(words.front());
  if (!command)
    return boost::leaf::new_error(
        ArgumentError{Kind::kUnknownCommand, words.front()});
  try {
    BOOST_LEAF_AUTO(
        arguments,
        FromMap(*command, Parsed(*command, {words.begin() + 1, words.end()})));
    if (arguments.help)
      return arguments;
    auto checked = CheckShape(arguments);
    if (!checked)
      return checked.error();
    return arguments;
  } catch (const options::error& error) {
    return boost::leaf::new_error(
        ArgumentError{Kind::kMalformedOption, error.what()});
  }
}

void WriteHelp(std::ostream& out) {
  out << "usage: comfreyctl COMMAND [arguments]\n\n"
         "Operates a deployment of comfreyvane.\n\nCommands:\n";
  for (std::size_t i = 0; i < kCommandCount; ++i) {
    const auto command = static_cast<Command>(i);
    out << "  " << std::left << std::setw(kNameColumns) << Name(command)
        << Summary(command) << '\n';
  }
  out << "\ncomfreyctl COMMAND --help says more of one.\n\n"
         "Exit statuses:\n"
         "  0  done\n"
         "  1  the command line is wrong\n"
         "  2  a file is unreadable, malformed or cannot be met\n"
         "  3  another change came first; nothing was changed\n"
         "  4  no host or not the platform was reached; nothing was changed\n"
         "  5  refused, for the reason printed; nothing was changed\n"
         "  6  outcome unknown; repeat with the request id printed\n";
}

void WriteHelp(Command command, std::ostream& out) {
  out << "usage: comfreyctl " << Name(command) << ' ' << Synopsis(command)
      << "\n\n"
      << Details(command) << '\n'
      << VisibleOptions(command);
}

}  // namespace comfreyvane::ctl
