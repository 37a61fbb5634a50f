/// @file
/// Why a decision was made.
#ifndef COMFREYVANE_OPERATE_EXPLANATION_H_
#define COMFREYVANE_OPERATE_EXPLANATION_H_

#include <string>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/operate/explanation_input.h"

namespace comfreyvane {

/// One decision: what it was, by which rule, from what.
struct Explanation {
  std::string host;      ///< That decided.
  std::string decision;  ///< Such as "refused: rate-exceeded".
  std::string rule;      ///< Such as "limit.tokens".
  Revision revision;     ///< Of the configuration that it was made under.
  std::vector<ExplanationInput> inputs;

  friend bool operator==(const Explanation&, const Explanation&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_EXPLANATION_H_
