/// @file
/// Paths of the operators' endpoint.
#ifndef COMFREYVANE_OPERATE_PATHS_H_
#define COMFREYVANE_OPERATE_PATHS_H_

#include <string_view>

namespace comfreyvane {

inline constexpr std::string_view kCheckPath = "/v1/config/check";
inline constexpr std::string_view kApplyPath = "/v1/config/apply";
inline constexpr std::string_view kConfigurationPath = "/v1/config";
inline constexpr std::string_view kStatusPath = "/v1/status";
inline constexpr std::string_view kWithdrawPath = "/v1/keys/withdraw";
inline constexpr std::string_view kDrainPath = "/v1/drain";
inline constexpr std::string_view kExplainPath = "/v1/explain";

/// Content type of each body.
inline constexpr std::string_view kOperateContentType = "application/json";

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_PATHS_H_
