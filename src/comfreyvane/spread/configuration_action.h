/// @file
/// Actions of the configuration core.
#ifndef COMFREYVANE_SPREAD_CONFIGURATION_ACTION_H_
#define COMFREYVANE_SPREAD_CONFIGURATION_ACTION_H_

#include <variant>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/spread/accept_action.h"
#include "comfreyvane/spread/freshness_action.h"
#include "comfreyvane/spread/operator_request.h"
#include "comfreyvane/spread/spread_action.h"

namespace comfreyvane {

/// Pass an operator's change on to an acceptor, and its answer back.
struct ForwardRequest {
  HostId to;
  OperatorRequest request;

  friend bool operator==(const ForwardRequest&,
                         const ForwardRequest&) = default;
};

/// An action of the configuration core. The result of ReadRows goes to
/// ConfigurationCore::OnRead, that of CommitRows to OnOutcome.
using ConfigurationAction = std::variant<SendSpreadMessage,
                                         SendFreshnessMessage,
                                         ReadRows,
                                         CommitRows,
                                         AnswerOperator,
                                         ForwardRequest,
                                         PutInForce>;

/// Actions in the order in which they are to be taken.
using ConfigurationActions = std::vector<ConfigurationAction>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_CONFIGURATION_ACTION_H_
