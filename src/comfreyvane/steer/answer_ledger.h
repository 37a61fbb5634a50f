/// @file
/// Tracks steering answers that clients may still cache.
#ifndef COMFREYVANE_STEER_ANSWER_LEDGER_H_
#define COMFREYVANE_STEER_ANSWER_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/expiring_sum.h"
#include "comfreyvane/steer/share_map.h"
#include "comfreyvane/steer/site_share_bounds.h"

namespace comfreyvane {

/// Tracks which share maps clients may still follow. An answer stays valid
/// until it expires, even if another map has taken effect since.
class AnswerLedger {
 public:
  /// @param in_force the map that new answers follow.
  explicit AnswerLedger(std::shared_ptr<const ShareMap> in_force)
      : in_force_(std::move(in_force)) {}

  /// Puts another map in force. Answers that follow the previous map may stay
  /// valid for a whole answer lifetime, as this host or the host that it
  /// replaced may have given one just now.
  /// @param answer_lifetime longest time for which a client uses an answer.
  void Replace(std::shared_ptr<const ShareMap> next,
               Duration answer_lifetime,
               TimePoint now);

  /// Counts an answer for the site.
  void Record(SiteId site, TimePoint expires, TimePoint now);

  /// Removes maps whose last answer had expired at the given time.
  void ExpireBefore(TimePoint before);

  /// @return the number of unexpired answers that name the site.
  [[nodiscard]] std::int64_t LiveAnswers(SiteId site, TimePoint now) const;

  /// @param since not before the time of the last ExpireBefore.
  /// @return bounds on the share of clients that each site has received since
  ///     then, over the map in force and the replaced maps that answers
  ///     followed; ascending by site.
  [[nodiscard]] std::vector<SiteShareBounds> ShareBounds(TimePoint since) const;

  /// @return whether an unexpired answer, or one given now, may send the
  ///     position to the site.
  [[nodiscard]] bool MaySend(ClientPosition position,
                             SiteId site,
                             TimePoint now) const;

  [[nodiscard]] const ShareMap& in_force() const { return *in_force_; }
  [[nodiscard]] std::shared_ptr<const ShareMap> shared_in_force() const {
    return in_force_;
  }

  /// @return the number of replaced maps that unexpired answers may follow.
  [[nodiscard]] std::size_t LiveMapCount(TimePoint now) const;

 private:
  struct RetiredMap {
    std::shared_ptr<const ShareMap> map;
    TimePoint expires;
  };

  std::shared_ptr<const ShareMap> in_force_;
  TimePoint latest_expiry_{};
  std::vector<RetiredMap> retired_;
  std::map<SiteId, ExpiringSum> live_answers_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_ANSWER_LEDGER_H_
