#include "comfreyvane/spread/request_log.h"

#include <algorithm>

#include "comfreyvane/spread/text_reader.h"

namespace comfreyvane {

std::optional<Revision> RequestLog::Find(RequestId request) const {
  const auto at = std::ranges::find(entries_, request, &Entry::request);
  if (at == entries_.end())
    return std::nullopt;
  return at->revision;
}

RequestLog RequestLog::With(RequestId request, Revision revision) const {
  RequestLog log = *this;
  if (log.entries_.size() == kLoggedRequests)
    log.entries_.erase(log.entries_.begin());
  log.entries_.push_back({request, revision});
  return log;
}

std::string RequestLog::Text() const {
  std::string text;
  for (const Entry& entry : entries_) {
    AppendNumber(text, entry.request.value());
    AppendNumber(text, entry.revision.value());
  }
  return text;
}

boost::leaf::result<RequestLog> RequestLog::Parse(std::string_view text) {
  TextReader reader(text);
  RequestLog log;
  while (!reader.at_end()) {
    BOOST_LEAF_AUTO(request, reader.Number());
    BOOST_LEAF_AUTO(revision, reader.Number());
    log.entries_.push_back({RequestId(request), Revision(revision)});
  }
  return log;
}

}  // namespace comfreyvane
