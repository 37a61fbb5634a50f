/// @file
/// The hosts through which changes are accepted.
#ifndef COMFREYVANE_SPREAD_ACCEPTOR_SET_H_
#define COMFREYVANE_SPREAD_ACCEPTOR_SET_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"

namespace comfreyvane {

/// Acceptors that the fleet has while enough hosts live.
inline constexpr std::size_t kAcceptors = 2;

/// One run of a host that accepts operators' changes.
struct Acceptor {
  HostId host;
  Incarnation incarnation;

  friend bool operator==(const Acceptor&, const Acceptor&) = default;
  friend bool operator<(const Acceptor& a, const Acceptor& b) {
    return std::tie(a.host, a.incarnation) < std::tie(b.host, b.incarnation);
  }
};

/// The hosts through which changes are accepted: value of row kAcceptorsKey.
struct AcceptorSet {
  std::uint64_t epoch = 0;  ///< Grows by one with each change of the set.
  std::vector<Acceptor> acceptors;

  /// @return whether this run of the host is in the set.
  [[nodiscard]] bool Has(const Acceptor& acceptor) const;

  /// @return the row's text.
  [[nodiscard]] std::string Text() const;

  /// @return the set, empty when the text is empty, or SpreadError::kMalformed.
  [[nodiscard]] static boost::leaf::result<AcceptorSet> Parse(
      std::string_view text);

  friend bool operator==(const AcceptorSet&, const AcceptorSet&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_ACCEPTOR_SET_H_
