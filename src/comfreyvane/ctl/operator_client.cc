#include "comfreyvane/ctl/operator_client.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <cassert>
#include <optional>
#include <utility>
#include <variant>

#include "comfreyvane/ctl/transport_error.h"
#include "comfreyvane/operate/bearer_token.h"
#include "comfreyvane/operate/paths.h"

namespace comfreyvane::ctl {
namespace {

namespace leaf = boost::leaf;

/// Rounds over all hosts, after which a lost answer stays unknown.
constexpr int kRounds = 2;

constexpr unsigned kStatusOk = 200;

/// What one host gave.
template <typename Response>
using Attempt = std::variant<Response, OperatorError, TransportError>;

template <typename Response>
leaf::result<Attempt<Response>> Read(const HttpReply& reply) {
  if (reply.status == kStatusOk) {
    BOOST_LEAF_AUTO(response, ReadMessage<Response>(reply.body));
    return Attempt<Response>(std::move(response));
  }
  BOOST_LEAF_AUTO(error, ReadMessage<OperatorError>(reply.body));
  return Attempt<Response>(std::move(error));
}

template <typename Response, typename Call>
Attempt<Response> Try(Call&& call) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Attempt<Response>> {
        BOOST_LEAF_AUTO(reply, call());
        return Read<Response>(reply);
      },
      [](TransportError error) { return Attempt<Response>(error); },
      [] { return Attempt<Response>(TransportError::kBadAnswer); });
}

/// @return whether another host, or the same one later, may do better.
bool IsWorthAnother(const OperatorError& error) {
  return error.error == OperatorErrorKind::kOutcomeUnknown ||
         error.error == OperatorErrorKind::kPlatformUnavailable ||
         error.error == OperatorErrorKind::kPeersSilent ||
         error.error == OperatorErrorKind::kLeaving ||
         error.error == OperatorErrorKind::kInternal;
}

/// A conflict settles earlier tries too: none of them can be accepted on a base
/// that is no longer the newest.
bool IsFinal(const OperatorError& error, bool may_have_taken_effect) {
  if (error.error == OperatorErrorKind::kConflict)
    return true;
  return !IsWorthAnother(error) && !may_have_taken_effect;
}

bool MayHaveTakenEffect(const OperatorError& error) {
  return error.error == OperatorErrorKind::kOutcomeUnknown ||
         error.error == OperatorErrorKind::kInternal;
}

std::string Encoded(const std::string& text) {
  return boost::urls::encode(text, boost::urls::unreserved_chars);
}

}  // namespace

OperatorClient::OperatorClient(std::vector<HostAddress> hosts,
                               const std::string& token,
                               std::chrono::milliseconds timeout,
                               Exchange exchange)
    : hosts_(std::move(hosts)),
      authorization_(AuthorizationOf(token)),
      timeout_(timeout),
      exchange_(std::move(exchange)) {
  assert(!hosts_.empty());
}

/// A failure is reported by the gravest attempt: once a try may have taken
/// effect, a later one that was not sent does not make that untrue.
template <typename Response>
leaf::result<Response> OperatorClient::Ask(const HttpRequest& request) const {
  std::optional<OperatorError> refusal;
  std::optional<TransportError> failure;
  bool may_have_taken_effect = false;
  for (int round = 0; round < kRounds; ++round) {
    for (const HostAddress& host : hosts_) {
      auto attempt =
          Try<Response>([&] { return exchange_(host, request, timeout_); });
      if (auto* response = std::get_if<Response>(&attempt))
        return std::move(*response);
      if (const auto* error = std::get_if<OperatorError>(&attempt)) {
        if (IsFinal(*error, may_have_taken_effect))
          return leaf::new_error(*error);
        refusal = *error;
        may_have_taken_effect |= request.changes && MayHaveTakenEffect(*error);
      } else {
        failure = std::get<TransportError>(attempt);
        may_have_taken_effect |=
            request.changes && *failure != TransportError::kNotSent;
      }
    }
  }
  if (may_have_taken_effect)
    return leaf::new_error(
        OperatorError{OperatorErrorKind::kOutcomeUnknown, {}, {}, {}, {}});
  if (refusal)
    return leaf::new_error(*refusal);
  return leaf::new_error(*failure);
}

template <typename Response>
leaf::result<Response> OperatorClient::Get(std::string target) const {
  return Ask<Response>({std::move(target), authorization_, "", false});
}

template <typename Response, typename Request>
leaf::result<Response> OperatorClient::Post(std::string_view path,
                                            const Request& request) const {
  static constexpr bool kChanges = std::same_as<Response, ChangeResponse>;
  return Ask<Response>(
      {std::string(path), authorization_, WriteMessage(request), kChanges});
}

leaf::result<CheckResponse> OperatorClient::Check(
    const CheckRequest& request) const {
  return Post<CheckResponse>(kCheckPath, request);
}

leaf::result<ConfigurationResponse> OperatorClient::ReadConfiguration() const {
  return Get<ConfigurationResponse>(std::string(kConfigurationPath));
}

leaf::result<StatusResponse> OperatorClient::ReadStatus() const {
  return Get<StatusResponse>(std::string(kStatusPath));
}

leaf::result<ExplainResponse> OperatorClient::Explain(
    const ExplainQuery& query) const {
  std::string target(kExplainPath);
  if (!query.request.empty())
    target += "?request=" + Encoded(query.request);
  else
    target += "?client=" + Encoded(query.client) +
              "&service=" + Encoded(query.service);
  return Get<ExplainResponse>(std::move(target));
}

leaf::result<ChangeResponse> OperatorClient::Apply(
    const ApplyRequest& request) const {
  return Post<ChangeResponse>(kApplyPath, request);
}

leaf::result<ChangeResponse> OperatorClient::Withdraw(
    const WithdrawRequest& request) const {
  return Post<ChangeResponse>(kWithdrawPath, request);
}

leaf::result<ChangeResponse> OperatorClient::Drain(
    const DrainRequest& request) const {
  return Post<ChangeResponse>(kDrainPath, request);
}

}  // namespace comfreyvane::ctl
