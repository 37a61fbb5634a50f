/// @file
/// Log lines on the request limits of backend servers.
#ifndef COMFREYVANE_GATEWAY_LIMIT_LOG_H_
#define COMFREYVANE_GATEWAY_LIMIT_LOG_H_

#include <string_view>

#include "comfreyvane/edge/limit_change.h"

namespace comfreyvane {

/// Logs a change of a server's request limit; nothing if it has not changed.
/// @param source what told of the change, such as "answer".
void LogLimitChange(std::string_view server,
                    const LimitChange& change,
                    std::string_view source);

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_LIMIT_LOG_H_
