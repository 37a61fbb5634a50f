/// @file
/// What an answer of a backend server says about the requests that it takes.
#ifndef COMFREYVANE_EDGE_SERVER_NOTICE_H_
#define COMFREYVANE_EDGE_SERVER_NOTICE_H_

#include "comfreyvane/edge/named_limit.h"

namespace comfreyvane {

/// What an answer of a backend server says about the requests that it takes
/// from now on, apart from its load.
struct ServerNotice {
  NamedLimit limit;
  bool is_leaving = false;  ///< It stops soon and takes no new requests.

  friend bool operator==(const ServerNotice&, const ServerNotice&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_NOTICE_H_
