/// @file
/// The accepted configuration.
#ifndef COMFREYVANE_OPERATE_CONFIGURATION_RESPONSE_H_
#define COMFREYVANE_OPERATE_CONFIGURATION_RESPONSE_H_

#include <string>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/config/configuration.h"

namespace comfreyvane {

/// Body of the answer to GET /v1/config.
struct ConfigurationResponse {
  Revision revision;
  std::string digest;  ///< By Digest().
  Configuration configuration;

  friend bool operator==(const ConfigurationResponse&,
                         const ConfigurationResponse&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_CONFIGURATION_RESPONSE_H_
