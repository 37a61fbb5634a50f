/// @file
/// Forward declarations of package operate.
#ifndef COMFREYVANE_OPERATE_FWD_H_
#define COMFREYVANE_OPERATE_FWD_H_

namespace comfreyvane {

struct ApplyRequest;
struct ChangeResponse;
struct CheckRequest;
struct CheckResponse;
struct ConfigurationResponse;
struct DrainRequest;
struct ExplainQuery;
struct ExplainResponse;
struct Explanation;
struct ExplanationInput;
struct HostStatus;
struct OperatorError;
struct ShareStatus;
struct StatusResponse;
struct WithdrawRequest;
enum class DrainTarget;
enum class OperatorErrorKind;

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_FWD_H_
