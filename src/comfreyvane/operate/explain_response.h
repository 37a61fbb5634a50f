/// @file
/// Answer to a question for reasons.
#ifndef COMFREYVANE_OPERATE_EXPLAIN_RESPONSE_H_
#define COMFREYVANE_OPERATE_EXPLAIN_RESPONSE_H_

#include <vector>

#include "comfreyvane/operate/explanation.h"

namespace comfreyvane {

/// Body of the answer to GET /v1/explain: the decisions on a request or for a
/// client, first to last.
struct ExplainResponse {
  std::vector<Explanation> decisions;

  friend bool operator==(const ExplainResponse&,
                         const ExplainResponse&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_EXPLAIN_RESPONSE_H_
