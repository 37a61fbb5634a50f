/// @file
/// Forward declarations of package once.
#ifndef COMFREYVANE_ONCE_FWD_H_
#define COMFREYVANE_ONCE_FWD_H_

namespace comfreyvane {

class EpochTracker;
class RequestLedger;
class StoreRecordCore;
class VerifiedTicket;
struct AlreadyRan;
struct AnswerSubmission;
struct CommitTransaction;
struct FirstSubmission;
struct InProgress;
struct ReadRecords;
struct RecordName;
struct RequestTicket;
struct RunOutcome;
struct ScanRecords;
struct StoreRecord;
struct StoreRecordLimits;
struct TicketTerms;
template <typename Signer>
class BasicTicketIssuer;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_FWD_H_
