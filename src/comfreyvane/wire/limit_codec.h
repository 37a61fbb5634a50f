/// @file
/// JSON form of the messages of package limit.
#ifndef COMFREYVANE_WIRE_LIMIT_CODEC_H_
#define COMFREYVANE_WIRE_LIMIT_CODEC_H_

#include <json/json.h>

#include <string>

#include <boost/leaf/result.hpp>

#include "comfreyvane/limit/commit_shares.h"
#include "comfreyvane/limit/grant_message.h"
#include "comfreyvane/limit/loan_message.h"
#include "comfreyvane/limit/share_table.h"
#include "comfreyvane/limit/shares_outcome.h"
#include "comfreyvane/limit/shares_reading.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_reading.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane {

/// Why a message of package limit could not be read.
enum class LimitWireError {
  kNotArray,     ///< A list or record is something else.
  kWrongLength,  ///< A record has too few or too many members.
  kWrongType,    ///< A member has another type.
  kOutOfRange,   ///< A number is negative or too large.
  kNotJson,      ///< A row's value is not JSON.
};

// Records are arrays of their members in order, to keep messages small.

[[nodiscard]] Json::Value ToJson(const LoanMessage& message);
[[nodiscard]] Json::Value ToJson(const GrantMessage& message);
[[nodiscard]] Json::Value ToJson(const ShareTable& table);

/// @return the message, or a LimitWireError.
[[nodiscard]] boost::leaf::result<LoanMessage> LoanMessageFromJson(
    const Json::Value& json);
/// @return the message, or a LimitWireError.
[[nodiscard]] boost::leaf::result<GrantMessage> GrantMessageFromJson(
    const Json::Value& json);
/// @return the table, or a LimitWireError.
[[nodiscard]] boost::leaf::result<ShareTable> ShareTableFromJson(
    const Json::Value& json);

/// @param key of the row that holds the table.
/// @return the transaction that performs the commit.
[[nodiscard]] TableTransaction ToTransaction(const CommitShares& commit,
                                             const std::string& key);
/// @return the event for GrantManager::OnSharesOutcome.
[[nodiscard]] SharesOutcome ToSharesOutcome(const TableOutcome& outcome);
/// @return the event for GrantManager::OnSharesReading, or a LimitWireError if
/// the row cannot be read.
[[nodiscard]] boost::leaf::result<SharesReading> ToSharesReading(
    const TableReading& reading,
    const std::string& key);

}  // namespace comfreyvane

#endif  // COMFREYVANE_WIRE_LIMIT_CODEC_H_
