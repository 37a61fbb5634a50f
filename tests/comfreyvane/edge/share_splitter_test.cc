#include "comfreyvane/edge/share_splitter.h"

#include <cmath>
#include <map>

#include "support/criterion.h"

using namespace comfreyvane;

Test(share_splitter, keeps_each_share_within_one_request) {
  const ServiceId a = ServiceId::Of("a");
  const ServiceId b = ServiceId::Of("b");
  const std::vector<ServiceShare> shares{{a, 90}, {b, 10}};
  ShareSplitter splitter;
  std::map<ServiceId, int> taken;
  for (int i = 1; i <= 1000; ++i) {
    ++taken[splitter.Next(shares)];
    cr_assert(std::abs(taken[b] - 0.1 * i) <= 1.0, "after %d", i);
  }
}

Test(share_splitter, changed_shares_reset_the_distribution) {
  const ServiceId a = ServiceId::Of("a");
  const ServiceId b = ServiceId::Of("b");
  ShareSplitter splitter;
  for (int i = 0; i < 7; ++i)
    static_cast<void>(splitter.Next({{a, 1}, {b, 1}}));
  cr_expect(splitter.Next({{b, 1}}) == b);
}
