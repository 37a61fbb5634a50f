/// @file
/// The newest operators' requests.
#ifndef COMFREYVANE_SPREAD_REQUEST_LOG_H_
#define COMFREYVANE_SPREAD_REQUEST_LOG_H_

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"

namespace comfreyvane {

/// Requests that the row remembers.
inline constexpr std::size_t kLoggedRequests = 256;

/// The newest operators' requests and the revisions that they became: value of
/// row kRequestsKey.
class RequestLog {
 public:
  /// @return the revision that a request became, or none.
  [[nodiscard]] std::optional<Revision> Find(RequestId request) const;

  /// @return the log with one more request, and the oldest one dropped.
  [[nodiscard]] RequestLog With(RequestId request, Revision revision) const;

  /// @return the row's text.
  [[nodiscard]] std::string Text() const;

  /// @return the log, empty when the text is, or SpreadError::kMalformed.
  [[nodiscard]] static boost::leaf::result<RequestLog> Parse(
      std::string_view text);

  friend bool operator==(const RequestLog&, const RequestLog&) = default;

 private:
  struct Entry {
    RequestId request;
    Revision revision;

    friend bool operator==(const Entry&, const Entry&) = default;
  };

  std::vector<Entry> entries_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_REQUEST_LOG_H_
