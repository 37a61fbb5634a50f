#include "comfreyvane/host/query_parameter.h"

#include <string>

#include "support/criterion.h"

using namespace comfreyvane;

Test(query_parameter, finds_and_decodes_values) {
  const std::string query = "service=capture&count=10&name=a%20b&empty=";
  cr_expect(QueryParameter(query, "service") == "capture");
  cr_expect(QueryParameter(query, "count") == "10");
  cr_expect(QueryParameter(query, "name") == "a b");
  cr_expect(QueryParameter(query, "empty") == "");
  cr_expect(!QueryParameter(query, "other"));
  cr_expect(!QueryParameter("", "service"));
  cr_expect(!QueryParameter("service=%zz", "service"));
}

/// The target of a request stands in a buffer that held longer ones.
Test(query_parameter, reads_nothing_behind_the_query) {
  const std::string buffer = "service=ledgere";
  const auto query = std::string_view(buffer).substr(0, buffer.size() - 1);
  cr_expect(QueryParameter(query, "service") == "ledger");
}
