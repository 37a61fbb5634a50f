/// @file
/// Members of the operators' messages, named once for writing and reading.
/// Not included by others than message_codec.cc.
#ifndef COMFREYVANE_OPERATE_MESSAGE_MEMBERS_H_
#define COMFREYVANE_OPERATE_MESSAGE_MEMBERS_H_

#include "comfreyvane/config/members.h"
#include "comfreyvane/config/policy_names.h"
#include "comfreyvane/operate/apply_request.h"
#include "comfreyvane/operate/change_response.h"
#include "comfreyvane/operate/check_request.h"
#include "comfreyvane/operate/check_response.h"
#include "comfreyvane/operate/configuration_response.h"
#include "comfreyvane/operate/drain_request.h"
#include "comfreyvane/operate/explain_response.h"
#include "comfreyvane/operate/operator_error.h"
#include "comfreyvane/operate/status_response.h"
#include "comfreyvane/operate/withdraw_request.h"

namespace comfreyvane {

template <>
inline constexpr int kValueCount<ParseErrorKind> =
    static_cast<int>(ParseErrorKind::kMissingMember) + 1;
template <>
inline constexpr int kValueCount<ConfigurationErrorKind> =
    static_cast<int>(ConfigurationErrorKind::kDuplicateKeyHash) + 1;
template <>
inline constexpr int kValueCount<ChangeKind> =
    static_cast<int>(ChangeKind::kChanged) + 1;
template <>
inline constexpr int kValueCount<OperatorErrorKind> =
    static_cast<int>(kOperatorErrorKindCount);

template <typename Visitor, Either<CheckRequest> T>
void VisitMembers(T& request, Visitor&& visit) {
  visit("configuration", request.configuration);
}

template <typename Visitor, Either<ConfigurationError> T>
void VisitMembers(T& error, Visitor&& visit) {
  visit("kind", error.kind);
  visit("object", error.object);
  visit("member", error.member);
  visit("value", error.value);
  visit("limit", error.limit);
}

template <typename Visitor, Either<ConfigurationChange> T>
void VisitMembers(T& change, Visitor&& visit) {
  visit("kind", change.kind);
  visit("object", change.object);
  visit("before", change.before);
  visit("after", change.after);
}

template <typename Visitor, Either<CheckResponse> T>
void VisitMembers(T& response, Visitor&& visit) {
  visit("base_revision", response.base_revision);
  visit("errors", response.errors);
  visit("changes", response.changes);
}

template <typename Visitor, Either<ApplyRequest> T>
void VisitMembers(T& request, Visitor&& visit) {
  visit("base_revision", request.base_revision);
  visit("request_id", request.request_id);
  visit("configuration", request.configuration);
}

template <typename Visitor, Either<ChangeResponse> T>
void VisitMembers(T& response, Visitor&& visit) {
  visit("revision", response.revision);
  visit("digest", response.digest);
  visit("repeated", response.repeated);
}

template <typename Visitor, Either<ConfigurationResponse> T>
void VisitMembers(T& response, Visitor&& visit) {
  visit("revision", response.revision);
  visit("digest", response.digest);
  visit("configuration", response.configuration);
}

template <typename Visitor, Either<WithdrawRequest> T>
void VisitMembers(T& request, Visitor&& visit) {
  visit("key_id", request.key_id);
  visit("request_id", request.request_id);
}

template <typename Visitor, Either<DrainRequest> T>
void VisitMembers(T& request, Visitor&& visit) {
  visit("target", request.target);
  visit("name", request.name);
  visit("request_id", request.request_id);
}

template <typename Visitor, Either<HostStatus> T>
void VisitMembers(T& host, Visitor&& visit) {
  visit("name", host.name);
  visit("failure_domain", host.failure_domain);
  visit("state", host.state);
  visit("in_force", host.in_force);
  visit("lags", host.lags);
  visit("heard_ms", host.heard_ms);
}

template <typename Visitor, Either<ShareStatus> T>
void VisitMembers(T& share, Visitor&& visit) {
  visit("service", share.service);
  visit("site", share.site);
  visit("declared", share.declared);
  visit("steered", share.steered);
  visit("pause", share.pause);
}

template <typename Visitor, Either<StatusResponse> T>
void VisitMembers(T& status, Visitor&& visit) {
  visit("host", status.host);
  visit("accepted", status.accepted);
  visit("in_force", status.in_force);
  visit("digest", status.digest);
  visit("platform_reachable", status.platform_reachable);
  visit("hosts", status.hosts);
  visit("shares", status.shares);
}

template <typename Visitor, Either<ExplanationInput> T>
void VisitMembers(T& input, Visitor&& visit) {
  visit("name", input.name);
  visit("value", input.value);
}

template <typename Visitor, Either<Explanation> T>
void VisitMembers(T& explanation, Visitor&& visit) {
  visit("host", explanation.host);
  visit("decision", explanation.decision);
  visit("rule", explanation.rule);
  visit("revision", explanation.revision);
  visit("inputs", explanation.inputs);
}

template <typename Visitor, Either<ExplainResponse> T>
void VisitMembers(T& response, Visitor&& visit) {
  visit("decisions", response.decisions);
}

template <typename Visitor, Either<ParseError> T>
void VisitMembers(T& error, Visitor&& visit) {
  visit("kind", error.kind);
  visit("line", error.line);
  visit("where", error.where);
}

template <typename Visitor, Either<OperatorError> T>
void VisitMembers(T& error, Visitor&& visit) {
  visit("error", error.error);
  visit("base_revision", error.base_revision);
  visit("current_revision", error.current_revision);
  visit("parse_errors", error.parse_errors);
  visit("configuration_errors", error.configuration_errors);
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_MESSAGE_MEMBERS_H_
