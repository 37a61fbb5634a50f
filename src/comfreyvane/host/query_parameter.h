/// @file
/// Parameters of a request's query.
#ifndef COMFREYVANE_HOST_QUERY_PARAMETER_H_
#define COMFREYVANE_HOST_QUERY_PARAMETER_H_

#include <optional>
#include <string>
#include <string_view>

namespace comfreyvane {

/// @param query without the question mark.
/// @return the decoded value of the first parameter of that name, if any.
[[nodiscard]] std::optional<std::string> QueryParameter(std::string_view query,
                                                        std::string_view name);

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_QUERY_PARAMETER_H_
