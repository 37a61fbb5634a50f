/// @file
/// Account of steering answers that clients still cache.
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

/// Knows which share maps clients may still act on. An answer lives until its
/// expiry, whatever was put in force since.
class AnswerLedger {
 public:
  /// @param in_force the map that answers follow from now on.
  explicit AnswerLedger(std::shared_ptr<const ShareMap> in_force)
      : in_force_(std::move(in_force)) {}

  /// Puts another map in force. Answers from the one before may be alive for
  /// one whole answer life, given here or by a host that this one replaced.
  /// @param answer_lifetime longest time for which a client uses an answer.
  void Replace(std::shared_ptr<const ShareMap> next,
               Duration answer_lifetime,
               TimePoint now);

  /// Counts an answer that was given.
  void Record(SiteId site, TimePoint expires, TimePoint now);

  /// Forgets maps that no answer followed any more at the given time.
  void ExpireBefore(TimePoint before);

  /// @return the number of answers alive that name the site.
  [[nodiscard]] std::int64_t LiveAnswers(SiteId site, TimePoint now) const;

  /// @param since a time not before the last call of ExpireBefore.
  /// @return for each site, bounds on what has arrived there since: over the
  ///     map in force and all that answers followed; ascending by site.
  [[nodiscard]] std::vector<SiteShareBounds> ShareBounds(TimePoint since) const;

  /// @return whether an answer alive, or one given now, may send the position
  ///     to the site.
  [[nodiscard]] bool MaySend(ClientPosition position,
                             SiteId site,
                             TimePoint now) const;

  [[nodiscard]] const ShareMap& in_force() const { return *in_force_; }
  [[nodiscard]] std::shared_ptr<const ShareMap> shared_in_force() const {
    return in_force_;
  }

  /// @return the number of replaced maps that answers alive may follow.
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
