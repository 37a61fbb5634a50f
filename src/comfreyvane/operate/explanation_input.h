/// @file
/// An input of a decision.
#ifndef COMFREYVANE_OPERATE_EXPLANATION_INPUT_H_
#define COMFREYVANE_OPERATE_EXPLANATION_INPUT_H_

#include <string>

namespace comfreyvane {

/// One input of a decision, as it was.
struct ExplanationInput {
  std::string name;
  std::string value;

  friend bool operator==(const ExplanationInput&,
                         const ExplanationInput&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_EXPLANATION_INPUT_H_
