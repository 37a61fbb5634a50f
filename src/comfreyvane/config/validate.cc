#include "comfreyvane/config/validate.h"

#include "comfreyvane/config/validator.h"

namespace comfreyvane {

std::vector<ConfigurationError> Validate(const Configuration& configuration) {
  Validator validator(configuration);
  validator.Run();
  return validator.errors();
}

}  // namespace comfreyvane
