/// @file
/// Request to withdraw a key.
#ifndef COMFREYVANE_OPERATE_WITHDRAW_REQUEST_H_
#define COMFREYVANE_OPERATE_WITHDRAW_REQUEST_H_

#include <string>

namespace comfreyvane {

/// Body of POST /v1/keys/withdraw.
struct WithdrawRequest {
  std::string key_id;      ///< KeyRecord::id.
  std::string request_id;  ///< The same when repeated after a lost answer.

  friend bool operator==(const WithdrawRequest&,
                         const WithdrawRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_WITHDRAW_REQUEST_H_
