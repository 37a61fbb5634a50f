#include "comfreyvane/host/query_parameter.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace comfreyvane {

std::optional<std::string> QueryParameter(std::string_view query,
                                          std::string_view name) {
  // The library's parse_query() of Boost 1.81 reads one character more than the
  // query has.
  const std::string target = "/?" + std::string(query);
  const auto parsed = boost::urls::parse_origin_form(target);
  if (!parsed)
    return std::nullopt;
  for (const auto& parameter : parsed->params()) {
    if (parameter.key == name && parameter.has_value)
      return parameter.value;
  }
  return std::nullopt;
}

}  // namespace comfreyvane
