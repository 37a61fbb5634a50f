/// @file
/// The commands of comfreyctl.
#ifndef COMFREYVANE_CTL_COMMANDS_H_
#define COMFREYVANE_CTL_COMMANDS_H_

#include <boost/leaf/result.hpp>
#include <iosfwd>
#include <string>

#include "comfreyvane/ctl/arguments.h"
#include "comfreyvane/ctl/exchange.h"
#include "comfreyvane/ctl/exit_code.h"
#include "comfreyvane/ctl/operator_client.h"

namespace comfreyvane::ctl {

/// Carries out the command of one command line. Error objects are FileError,
/// ParseErrors, OperatorError and TransportError.
class Commands {
 public:
  /// @param arguments must outlive the commands, like the other parameters.
  /// @param request_id of the changes that are asked for.
  /// @param out gets answers.
  /// @param exchange sends requests to hosts.
  Commands(const Arguments& arguments,
           const std::string& request_id,
           std::ostream& out,
           const Exchange& exchange);

  [[nodiscard]] boost::leaf::result<ExitCode> RunCommand() const;

 private:
  using Outcome = boost::leaf::result<ExitCode>;

  [[nodiscard]] Outcome Check() const;
  [[nodiscard]] Outcome Diff() const;
  [[nodiscard]] Outcome Apply() const;
  [[nodiscard]] Outcome Status() const;
  [[nodiscard]] Outcome WithdrawKey() const;
  [[nodiscard]] Outcome Drain(DrainTarget target) const;
  [[nodiscard]] Outcome Explain() const;
  [[nodiscard]] Outcome MakeKey() const;

  [[nodiscard]] boost::leaf::result<OperatorClient> Client() const;
  [[nodiscard]] boost::leaf::result<Revision> Base(
      const OperatorClient& client) const;
  /// Writes a message as JSON or as text.
  template <typename Message>
  void Answer(const Message& message) const;

  const Arguments& arguments_;
  const std::string& request_id_;
  std::ostream& out_;
  const Exchange& exchange_;
};

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_COMMANDS_H_
