/// @file
/// Answer of a host.
#ifndef COMFREYVANE_CTL_HTTP_REPLY_H_
#define COMFREYVANE_CTL_HTTP_REPLY_H_

#include <string>

namespace comfreyvane::ctl {

/// A whole answer of a host.
struct HttpReply {
  unsigned status = 0;
  std::string body;

  friend bool operator==(const HttpReply&, const HttpReply&) = default;
};

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_HTTP_REPLY_H_
