#include "comfreyvane/ctl/commands.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/on_error.hpp>
#include <ostream>
#include <utility>

#include "comfreyvane/config/diff.h"
#include "comfreyvane/config/keys.h"
#include "comfreyvane/config/validate.h"
#include "comfreyvane/ctl/attempted_base.h"
#include "comfreyvane/ctl/files.h"
#include "comfreyvane/ctl/report.h"

namespace comfreyvane::ctl {

namespace leaf = boost::leaf;

Commands::Commands(const Arguments& arguments,
                   const std::string& request_id,
                   std::ostream& out,
                   const Exchange& exchange)
    : arguments_(arguments),
      request_id_(request_id),
      out_(out),
      exchange_(exchange) {}

leaf::result<ExitCode> Commands::RunCommand() const {
  switch (arguments_.command) {
    case Command::kCheck:
      return Check();
    case Command::kDiff:
      return Diff();
    case Command::kApply:
      return Apply();
    case Command::kStatus:
      return Status();
    case Command::kWithdrawKey:
      return WithdrawKey();
    case Command::kDrainHost:
      return Drain(DrainTarget::kHost);
    case Command::kDrainServer:
      return Drain(DrainTarget::kBackendServer);
    case Command::kExplain:
      return Explain();
    case Command::kMakeKey:
      return MakeKey();
  }
  return ExitCode::kUsage;
}

template <typename Message>
void Commands::Answer(const Message& message) const {
  if (arguments_.json)
    out_ << WriteMessage(message) << '\n';
  else
    WriteReport(message, out_);
}

leaf::result<OperatorClient> Commands::Client() const {
  BOOST_LEAF_AUTO(token, ReadTokenFile(arguments_.token_file));
  return OperatorClient(arguments_.hosts, token, arguments_.timeout, exchange_);
}

leaf::result<Revision> Commands::Base(const OperatorClient& client) const {
  if (arguments_.base)
    return *arguments_.base;
  return leaf::try_handle_some(
      [&]() -> leaf::result<Revision> {
        BOOST_LEAF_AUTO(accepted, client.ReadConfiguration());
        return accepted.revision;
      },
      [](const OperatorError& error) -> leaf::result<Revision> {
        if (error.error == OperatorErrorKind::kNoConfiguration)
          return Revision();
        return leaf::new_error(error);
      });
}

Commands::Outcome Commands::Check() const {
  BOOST_LEAF_AUTO(configuration, ReadConfigurationFile(arguments_.operands[0]));
  CheckResponse response;
  response.errors = Validate(configuration);
  if (response.errors.empty() && !arguments_.hosts.empty()) {
    BOOST_LEAF_AUTO(client, Client());
    BOOST_LEAF_ASSIGN(response, client.Check({configuration}));
  }
  Answer(response);
  if (!response.errors.empty())
    return ExitCode::kInvalid;
  if (!arguments_.json)
    out_ << "can be accepted\n";
  return ExitCode::kDone;
}

Commands::Outcome Commands::Diff() const {
  CheckResponse response;
  Configuration before;
  if (arguments_.hosts.empty()) {
    BOOST_LEAF_ASSIGN(before, ReadConfigurationFile(arguments_.operands[0]));
  } else {
    BOOST_LEAF_AUTO(client, Client());
    BOOST_LEAF_AUTO(accepted, client.ReadConfiguration());
    response.base_revision = accepted.revision;
    before = std::move(accepted.configuration);
  }
  BOOST_LEAF_AUTO(after, ReadConfigurationFile(arguments_.operands.back()));
  response.changes = comfreyvane::Diff(before, after);
  Answer(response);
  return ExitCode::kDone;
}

Commands::Outcome Commands::Apply() const {
  BOOST_LEAF_AUTO(configuration, ReadConfigurationFile(arguments_.operands[0]));
  CheckResponse check;
  check.errors = Validate(configuration);
  if (!check.errors.empty()) {
    Answer(check);
    return ExitCode::kInvalid;
  }
  BOOST_LEAF_AUTO(client, Client());
  BOOST_LEAF_AUTO(base, Base(client));
  const auto attempted = leaf::on_error(AttemptedBase{base});
  BOOST_LEAF_AUTO(response, client.Apply({base, request_id_, configuration}));
  Answer(response);
  return ExitCode::kDone;
}

Commands::Outcome Commands::Status() const {
  BOOST_LEAF_AUTO(client, Client());
  BOOST_LEAF_AUTO(response, client.ReadStatus());
  Answer(response);
  return ExitCode::kDone;
}

Commands::Outcome Commands::WithdrawKey() const {
  BOOST_LEAF_AUTO(client, Client());
  BOOST_LEAF_AUTO(response,
                  client.Withdraw({arguments_.operands[0], request_id_}));
  Answer(response);
  return ExitCode::kDone;
}

Commands::Outcome Commands::Drain(DrainTarget target) const {
  BOOST_LEAF_AUTO(client, Client());
  BOOST_LEAF_AUTO(response,
                  client.Drain({target, arguments_.operands[0], request_id_}));
  Answer(response);
  return ExitCode::kDone;
}

Commands::Outcome Commands::Explain() const {
  BOOST_LEAF_AUTO(client, Client());
  BOOST_LEAF_AUTO(response, client.Explain(arguments_.explain));
  Answer(response);
  return ExitCode::kDone;
}

Commands::Outcome Commands::MakeKey() const {
  const CallerKey key = GenerateKey();
  auto written = WriteKeyFile(arguments_.operands[0], key);
  if (!written)
    return written.error();
  out_ << HashKey(key) << '\n';
  return ExitCode::kDone;
}

}  // namespace comfreyvane::ctl
