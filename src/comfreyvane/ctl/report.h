/// @file
/// Answers as text for people.
#ifndef COMFREYVANE_CTL_REPORT_H_
#define COMFREYVANE_CTL_REPORT_H_

#include <iosfwd>

#include "comfreyvane/operate/change_response.h"
#include "comfreyvane/operate/check_response.h"
#include "comfreyvane/operate/explain_response.h"
#include "comfreyvane/operate/operator_error.h"
#include "comfreyvane/operate/status_response.h"

namespace comfreyvane::ctl {

/// Writes the faults, or the changes in the manner of a line diff.
void WriteReport(const CheckResponse& response, std::ostream& out);

/// Writes the revisions, then a line for each host and share.
void WriteReport(const StatusResponse& response, std::ostream& out);

/// Writes each decision with its rule and inputs.
void WriteReport(const ExplainResponse& response, std::ostream& out);

/// Writes the accepted revision.
void WriteReport(const ChangeResponse& response, std::ostream& out);

/// Writes the reason and its details.
void WriteReport(const OperatorError& error, std::ostream& out);

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_REPORT_H_
