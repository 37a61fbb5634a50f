#include "comfreyvane/edge/warmth_model.h"

#include "support/criterion.h"

using namespace comfreyvane;

Test(warmth_model, estimates_how_many_objects_stay_warm) {
  const ServiceId service = ServiceId::Of("capture");
  WarmthModel model;
  cr_expect(!model.IsWarm(service, std::nullopt));
  model.Add(service, 25, true);
  cr_expect(model.IsWarm(service, 25));
  cr_expect(!model.IsWarm(service, 26));
  for (int i = 0; i < 100; ++i)
    model.Add(service, 8, false);
  cr_expect(!model.IsWarm(service, 8));
  cr_expect(model.IsWarm(service, 3));
}
