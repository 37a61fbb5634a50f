/// @file
/// Forward declarations of package limit.
#ifndef COMFREYVANE_LIMIT_FWD_H_
#define COMFREYVANE_LIMIT_FWD_H_

#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

struct LimitTag;
struct GrantTag;

/// Identifier of a limited resource: a workspace, a site, a region or a link.
using LimitId = BasicId<LimitTag>;
/// Identifier of one grant in the share table.
using GrantId = BasicId<GrantTag>;

struct Limit;
struct Share;
struct LeaseTerms;
struct OwnShare;
struct Admission;
struct MessageStamp;
struct LoanMessage;
struct GrantMessage;
struct ShareGrant;
struct ShareTable;
struct DemandReport;
struct Loan;
struct LoanAck;
struct SendLoanMessage;
struct HostIncarnation;
struct RenewalRequest;
struct GrantRenewal;
struct VoteRequest;
struct Vote;
struct GrantRelease;
struct ReleaseAck;
struct SendGrantMessage;
struct CommitShares;
struct SharesOutcome;
struct SharesReading;
struct GrantManagerActions;
struct PeerHost;
class AdmissionBucket;
class LimitShard;
class GrantManager;
class ShardedLimits;

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_FWD_H_
