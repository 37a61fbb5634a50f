#include "comfreyvane/spread/configuration_delta.h"

#include <utility>

#include "comfreyvane/spread/spread_error.h"

namespace comfreyvane {

ConfigurationDelta ConfigurationDelta::Between(
    const ConfigurationDocument& from,
    const ConfigurationDocument& to) {
  return {from.revision, to.revision, to.digest(),
          from.document.Diff(to.document)};
}

boost::leaf::result<ConfigurationDocument> ConfigurationDelta::ApplyTo(
    const ConfigurationDocument& base) const {
  if (base.revision != from || to != from.next())
    return boost::leaf::new_error(SpreadError::kBaseMismatch);
  BOOST_LEAF_AUTO(result, base.document.Apply(changes));
  if (result.digest() != digest)
    return boost::leaf::new_error(SpreadError::kDigestMismatch);
  return ConfigurationDocument{to, std::move(result)};
}

}  // namespace comfreyvane
