/// @file
/// What an answer of a backend server says about the requests that it takes.
#ifndef COMFREYVANE_EDGE_SERVER_NOTICE_H_
#define COMFREYVANE_EDGE_SERVER_NOTICE_H_

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/named_limit.h"

namespace comfreyvane {

/// What an answer of a backend server says about the requests that it takes
/// from now on, apart from its load.
struct ServerNotice {
  NamedLimit limit;
  bool is_leaving = false;  ///< It stops soon and takes no new requests.
  /// Time for which it wants no requests from this host; zero: none stated.
  Duration wait{};
  bool has_unreadable_wait = false;

  friend bool operator==(const ServerNotice&, const ServerNotice&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_NOTICE_H_
