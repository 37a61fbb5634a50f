/// @file
/// What a host knows of all members.
#ifndef COMFREYVANE_MEMBER_ROSTER_H_
#define COMFREYVANE_MEMBER_ROSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/member/domain_digest.h"
#include "comfreyvane/member/member.h"
#include "comfreyvane/member/member_rumour.h"
#include "comfreyvane/member/member_settings.h"
#include "comfreyvane/member/member_view.h"
#include "comfreyvane/storage/host_listing.h"

namespace comfreyvane {

/// What a host knows of all members, itself included. Not thread safe.
class Roster {
 public:
  /// One member with what the decisions need beside.
  struct Entry {
    Member member;  ///< Its state is what the newest rumour says.
    bool listed = false;
    /// The incarnation that the platform's list says is leaving.
    std::optional<Incarnation> listed_leaving;
    std::uint32_t deaths = 0;
    std::optional<TimePoint> readmit_at;     ///< Live again from then on.
    std::optional<TimePoint> suspect_since;  ///< Only where this host watches.
    std::optional<TimePoint> dead_since;
  };

  /// @param settings copied; says which host is this one.
  Roster(const MemberSettings& settings, TimePoint now);

  /// Takes the platform's list.
  void TakeList(const std::vector<HostListing>& list, TimePoint now);

  /// Takes a rumour.
  /// @return whether it was news.
  bool Take(const MemberRumour& rumour, TimePoint now);

  /// Drops members that are dead and no longer listed.
  void Forget(TimePoint now);

  /// @return the entry, or null.
  [[nodiscard]] Entry* Find(HostId host);
  [[nodiscard]] const Entry* Find(HostId host) const;

  /// @return all entries by identifier.
  [[nodiscard]] std::map<HostId, Entry>& entries() { return entries_; }

  /// @return what this host would tell of the entry.
  [[nodiscard]] static MemberRumour RumourOf(const Entry& entry);

  /// @return the state in the view: of the newest rumour, the platform's list
  /// and the time to readmission together.
  [[nodiscard]] MemberState StateOf(const Entry& entry, TimePoint now) const;

  /// @return a digest of all members.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

  /// @return digests by failure domain, in the order of identifiers.
  [[nodiscard]] std::vector<DomainDigest> DomainDigests() const;

 private:
  void Apply(Entry& entry, const MemberRumour& rumour, TimePoint now);
  void ToggleDigest(const Entry& entry);

  MemberSettings settings_;
  std::map<HostId, Entry> entries_;
  std::map<FailureDomainId, std::uint64_t> domain_digests_;
  std::uint64_t digest_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_ROSTER_H_
