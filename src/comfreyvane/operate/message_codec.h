/// @file
/// Operators' messages as JSON.
#ifndef COMFREYVANE_OPERATE_MESSAGE_CODEC_H_
#define COMFREYVANE_OPERATE_MESSAGE_CODEC_H_

#include <boost/leaf/result.hpp>
#include <concepts>
#include <string>
#include <string_view>

#include "comfreyvane/config/parse_errors.h"
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

/// A body of the operators' endpoint.
template <typename T>
concept OperatorMessage = std::same_as<T, CheckRequest> ||
    std::same_as<T, CheckResponse> || std::same_as<T, ApplyRequest> ||
    std::same_as<T, ChangeResponse> || std::same_as<T, ConfigurationResponse> ||
    std::same_as<T, WithdrawRequest> || std::same_as<T, DrainRequest> ||
    std::same_as<T, StatusResponse> || std::same_as<T, ExplainResponse> ||
    std::same_as<T, OperatorError>;

/// @return the message as JSON on one line.
template <OperatorMessage Message>
[[nodiscard]] std::string WriteMessage(const Message& message);

/// @param text JSON with each member of the message and no other.
/// @return the message, or the error object ParseErrors with every fault.
template <OperatorMessage Message>
[[nodiscard]] boost::leaf::result<Message> ReadMessage(std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_MESSAGE_CODEC_H_
