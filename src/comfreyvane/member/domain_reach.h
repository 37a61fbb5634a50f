/// @file
/// Which failure domains are reached from this one.
#ifndef COMFREYVANE_MEMBER_DOMAIN_REACH_H_
#define COMFREYVANE_MEMBER_DOMAIN_REACH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/member/domain_rumour.h"

namespace comfreyvane {

/// Which failure domains are reached from this host's own. A domain that this
/// host has links to is suspected after a silence on them and declared
/// unreachable when nobody of the own domain objects. Not thread safe.
class DomainReach {
 public:
  /// @param suspect_after silence on this host's links.
  /// @param dead_after of suspicion.
  DomainReach(Duration suspect_after, Duration dead_after)
      : suspect_after_(suspect_after), dead_after_(dead_after) {}

  /// Takes the domains that this host has links to.
  void Watch(const std::vector<FailureDomainId>& domains, TimePoint now);

  /// A member of the domain was heard directly.
  /// @return what to tell the own domain, if that is news.
  [[nodiscard]] std::optional<DomainRumour> OnHeard(FailureDomainId domain,
                                                    TimePoint now);

  /// Takes a rumour of a host of the own domain.
  /// @return what to tell the own domain: the rumour when it is news here, an
  /// objection when this host hears the domain, or newer news.
  [[nodiscard]] std::optional<DomainRumour> OnRumour(const DomainRumour& rumour,
                                                     TimePoint now);

  /// @param[out] suspected domains whose other members are to be probed now.
  /// @return what to tell the own domain.
  [[nodiscard]] std::vector<DomainRumour> OnTick(
      TimePoint now,
      std::vector<FailureDomainId>& suspected);

  /// Starts all silences anew, after a pause of this process.
  void Restart(TimePoint now);

  /// @param first which of them comes first, for turns.
  /// @param limit how many at most.
  /// @return domains out of reach, to be repeated to the own domain until a
  /// host that hears them objects.
  [[nodiscard]] std::vector<DomainRumour> Unreachable(std::size_t first,
                                                      std::size_t limit) const;

  /// @return domains out of reach that this host has links to.
  [[nodiscard]] std::vector<FailureDomainId> WatchedUnreachable() const;

  /// @return how long the domain was out of reach, if that ended just now.
  [[nodiscard]] Duration EndedOutage(FailureDomainId domain,
                                     TimePoint now) const;

  /// @return whether the domain is reached as far as is known.
  [[nodiscard]] bool IsReached(FailureDomainId domain) const;

 private:
  struct Entry {
    void SetReachable(bool now_reachable, TimePoint now);

    std::uint32_t version = 0;
    bool reachable = true;
    bool watched = false;
    std::optional<TimePoint> heard;  ///< Directly, by this host.
    TimePoint silent_since;          ///< Silence counts from here.
    TimePoint lost;                  ///< When it was last declared.
    TimePoint returned;              ///< When that last ended.
    std::optional<TimePoint> suspected;
  };

  Duration suspect_after_;
  Duration dead_after_;
  std::map<FailureDomainId, Entry> domains_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_DOMAIN_REACH_H_
