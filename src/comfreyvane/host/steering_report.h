/// @file
/// Explains look-ups to operators.
#ifndef COMFREYVANE_HOST_STEERING_REPORT_H_
#define COMFREYVANE_HOST_STEERING_REPORT_H_

#include <optional>
#include <string>

#include "comfreyvane/config/fwd.h"
#include "comfreyvane/host/host_context.h"
#include "comfreyvane/operate/explanation.h"

namespace comfreyvane {

/// @param client IP address.
/// @param service name of a service of the configuration.
/// @return how a look-up would be answered now and why; nothing if the client
/// is not an IP address.
[[nodiscard]] std::optional<Explanation> ExplainSteering(
    HostContext& host,
    const ConfigurationIndex& configuration,
    const std::string& client,
    const std::string& service,
    TimePoint now);

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_STEERING_REPORT_H_
