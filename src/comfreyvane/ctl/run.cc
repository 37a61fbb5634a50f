#include "comfreyvane/ctl/run.h"

#include <boost/leaf/handle_errors.hpp>
#include <ostream>

#include "comfreyvane/config/keys.h"
#include "comfreyvane/ctl/attempted_base.h"
#include "comfreyvane/ctl/commands.h"
#include "comfreyvane/ctl/file_error.h"
#include "comfreyvane/ctl/parse_arguments.h"
#include "comfreyvane/ctl/report.h"
#include "comfreyvane/ctl/transport_error.h"

namespace comfreyvane::ctl {
namespace {

namespace leaf = boost::leaf;

/// Hexadecimal digits of a new request id.
constexpr std::size_t kRequestIdDigits = 32;

std::string NewRequestId() {
  return HashKey(GenerateKey()).substr(0, kRequestIdDigits);
}

ExitCode ExitCodeOf(OperatorErrorKind kind) {
  switch (kind) {
    case OperatorErrorKind::kMalformed:
    case OperatorErrorKind::kInvalidConfiguration:
      return ExitCode::kInvalid;
    case OperatorErrorKind::kConflict:
      return ExitCode::kConflict;
    case OperatorErrorKind::kPlatformUnavailable:
    case OperatorErrorKind::kPeersSilent:
    case OperatorErrorKind::kLeaving:
      return ExitCode::kUnreachable;
    case OperatorErrorKind::kOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
    default:
      return ExitCode::kRefused;
  }
}

/// Runs checked arguments and tells people of every failure.
class Session {
 public:
  Session(const Arguments& arguments,
          std::ostream& out,
          std::ostream& errors,
          const Exchange& exchange)
      : arguments_(arguments),
        request_id_(arguments.request_id.empty() ? NewRequestId()
                                                 : arguments.request_id),
        out_(out),
        errors_(errors),
        exchange_(exchange) {}

  ExitCode RunCommand() const {
    return leaf::try_handle_all(
        [&] {
          return Commands(arguments_, request_id_, out_, exchange_)
              .RunCommand();
        },
        [&](const FileError& error) { return Fail(error); },
        [&](const ParseErrors& error) { return Fail(error); },
        [&](const OperatorError& error, const AttemptedBase* base) {
          return Fail(error, base);
        },
        [&](TransportError error) { return Fail(error); },
        [&] {
          return Fail(
              OperatorError{OperatorErrorKind::kInternal, {}, {}, {}, {}});
        });
  }

 private:
  ExitCode Fail(const FileError& error) const {
    errors_ << error.path.string() << ": cannot be used\n";
    return ExitCode::kInvalid;
  }

  ExitCode Fail(const ParseErrors& faults) const {
    return Fail(OperatorError{
        OperatorErrorKind::kMalformed, {}, {}, faults.errors, {}});
  }

  ExitCode Fail(const OperatorError& error,
                const AttemptedBase* base = nullptr) const {
    if (arguments_.json)
      out_ << WriteMessage(error) << '\n';
    else
      WriteReport(error, errors_);
    if (error.error == OperatorErrorKind::kOutcomeUnknown)
      SayHowToRepeat(base);
    return ExitCodeOf(error.error);
  }

  void SayHowToRepeat(const AttemptedBase* base) const {
    errors_ << "repeat with --request-id " << request_id_;
    if (base != nullptr)
      errors_ << " --base " << base->revision.value();
    errors_ << '\n';
  }

  ExitCode Fail(TransportError error) const {
    errors_ << (error == TransportError::kBadAnswer
                    ? "no host gave an answer that can be read\n"
                    : "no host answered\n");
    return ExitCode::kUnreachable;
  }

  const Arguments& arguments_;
  std::string request_id_;
  std::ostream& out_;
  std::ostream& errors_;
  const Exchange& exchange_;
};

bool AsksForHelp(const std::vector<std::string>& words) {
  return !words.empty() && (words[0] == "--help" || words[0] == "help");
}

}  // namespace

ExitCode Run(const std::vector<std::string>& words,
             std::ostream& out,
             std::ostream& errors,
             const Exchange& exchange) {
  if (AsksForHelp(words)) {
    WriteHelp(out);
    return ExitCode::kDone;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<ExitCode> {
        BOOST_LEAF_AUTO(arguments, ParseArguments(words));
        if (arguments.help) {
          WriteHelp(arguments.command, out);
          return ExitCode::kDone;
        }
        return Session(arguments, out, errors, exchange).RunCommand();
      },
      [&](const ArgumentError& error) {
        errors << "comfreyctl: " << error << "\nsee comfreyctl --help\n";
        return ExitCode::kUsage;
      },
      [] { return ExitCode::kUsage; });
}

}  // namespace comfreyvane::ctl
