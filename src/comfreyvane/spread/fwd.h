/// @file
/// Forward declarations of package spread.
#ifndef COMFREYVANE_SPREAD_FWD_H_
#define COMFREYVANE_SPREAD_FWD_H_

namespace comfreyvane {

struct Section;
struct SectionChange;
struct ConfigurationDelta;
struct ConfigurationDocument;
struct OperatorRequest;
struct ApplyResult;
struct AcceptorSet;
struct AcceptorStatement;
struct StoreEvidence;
struct FreshnessQuestion;
struct FreshnessAnswer;
struct RevisionNotice;
struct RevisionRequest;
struct DeltaChain;
struct FullDocument;
struct DomainConfirmation;
struct InForceStatus;
struct SpreadSettings;
struct FreshnessSettings;
struct AcceptSettings;
enum class SpreadError;
enum class ApplyStatus;
enum class SpreadPhase;
class SectionedDocument;
class AcceptCore;
class AcceptorCore;
class ConfigurationCore;
struct ConfigurationSettings;
struct ForwardRequest;
class ConfirmationBoard;
class FreshnessCore;
class InForceTracker;
class SpreadCore;

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_FWD_H_
