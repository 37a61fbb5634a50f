/// @file
/// Message between the GrantManagers of two hosts.
#ifndef COMFREYVANE_LIMIT_GRANT_MESSAGE_H_
#define COMFREYVANE_LIMIT_GRANT_MESSAGE_H_

#include <optional>
#include <vector>

#include "comfreyvane/limit/grant_release.h"
#include "comfreyvane/limit/grant_renewal.h"
#include "comfreyvane/limit/message_stamp.h"
#include "comfreyvane/limit/release_ack.h"
#include "comfreyvane/limit/renewal_request.h"
#include "comfreyvane/limit/vote.h"
#include "comfreyvane/limit/vote_request.h"

namespace comfreyvane {

/// Message that requests and sends renewals of, votes on and releases of
/// grants.
struct GrantMessage {
  MessageStamp stamp;
  std::optional<MessageStamp>
      echo;                    ///< Newest stamp received from the receiver.
  bool probe = false;          ///< Requests a message with `probe_reply`.
  bool probe_reply = false;    ///< Set in the reply to a probe.
  bool has_new_grant = false;  ///< The receiver should read the table.
  std::vector<RenewalRequest> renewal_requests;
  std::vector<GrantRenewal> renewals;
  std::vector<VoteRequest> vote_requests;
  std::vector<Vote> votes;
  std::vector<GrantRelease> releases;
  std::vector<ReleaseAck> release_acks;

  friend bool operator==(const GrantMessage&, const GrantMessage&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_GRANT_MESSAGE_H_
