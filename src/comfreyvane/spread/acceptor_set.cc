#include "comfreyvane/spread/acceptor_set.h"

#include <algorithm>

#include "comfreyvane/spread/text_reader.h"

namespace comfreyvane {

bool AcceptorSet::Has(const Acceptor& acceptor) const {
  return std::ranges::find(acceptors, acceptor) != acceptors.end();
}

std::string AcceptorSet::Text() const {
  std::string text;
  AppendNumber(text, epoch);
  for (const Acceptor& acceptor : acceptors) {
    AppendNumber(text, acceptor.host.value());
    AppendNumber(text, acceptor.incarnation.value());
  }
  return text;
}

boost::leaf::result<AcceptorSet> AcceptorSet::Parse(std::string_view text) {
  if (text.empty())
    return AcceptorSet{};
  TextReader reader(text);
  BOOST_LEAF_AUTO(epoch, reader.Number());
  AcceptorSet set{epoch, {}};
  while (!reader.at_end()) {
    BOOST_LEAF_AUTO(host, reader.Number());
    BOOST_LEAF_AUTO(incarnation, reader.Number());
    set.acceptors.push_back({HostId(host), Incarnation(incarnation)});
  }
  return set;
}

}  // namespace comfreyvane
