/// @file
/// Decision on a look-up.
#ifndef COMFREYVANE_STEER_STEERING_DECISION_H_
#define COMFREYVANE_STEER_STEERING_DECISION_H_

#include <variant>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/steer/steering_answer.h"
#include "comfreyvane/steer/steering_explanation.h"

namespace comfreyvane {

/// An answer or a refusal, with its explanation.
struct SteeringDecision {
  std::variant<SteeringAnswer, Refusal> outcome;
  SteeringExplanation explanation{};

  friend bool operator==(const SteeringDecision&,
                         const SteeringDecision&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEERING_DECISION_H_
