#include "comfreyvane/edge/latency_model.h"

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;

Test(latency_model, starts_from_the_initial_estimate) {
  const LatencyModel model;
  cr_expect(model.Expected(1, false, milliseconds(400)) == milliseconds(400));
  cr_expect(model.Expected(1, true, milliseconds(400)) == milliseconds(200));
}

Test(latency_model, averages_warm_and_cold_separately_and_by_kind) {
  LatencyModel model;
  for (int i = 0; i < 200; ++i) {
    model.Add(1, true, milliseconds(100));
    model.Add(1, false, milliseconds(600));
  }
  cr_expect(model.Expected(1, true, {}) == milliseconds(100));
  cr_expect(model.Expected(1, false, {}) == milliseconds(600));
  cr_expect(model.Expected(2, true, milliseconds(50)) == milliseconds(25));
}
