/// @file
/// Authentication of operators.
#ifndef COMFREYVANE_OPERATE_BEARER_TOKEN_H_
#define COMFREYVANE_OPERATE_BEARER_TOKEN_H_

#include <string>
#include <string_view>

namespace comfreyvane {

/// @param token the operators' token.
/// @return the value of the Authorization header that carries it.
[[nodiscard]] std::string AuthorizationOf(std::string_view token);

/// Compares in a time that does not depend on where the texts differ.
/// @param header value of an Authorization header, empty if there is none.
/// @param token the token that is expected; an empty one matches nothing.
/// @return whether the header carries the token.
[[nodiscard]] bool CarriesToken(std::string_view header,
                                std::string_view token);

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_BEARER_TOKEN_H_
