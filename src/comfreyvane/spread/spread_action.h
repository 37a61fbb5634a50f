/// @file
/// Actions of the spread of configurations.
#ifndef COMFREYVANE_SPREAD_SPREAD_ACTION_H_
#define COMFREYVANE_SPREAD_SPREAD_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/spread/accept_action.h"
#include "comfreyvane/spread/spread_message.h"

namespace comfreyvane {

/// Send a message to a peer.
struct SendSpreadMessage {
  HostId to;
  SpreadMessage message;

  friend bool operator==(const SendSpreadMessage&,
                         const SendSpreadMessage&) = default;
};

/// A revision is in force on this host from now on.
struct PutInForce {
  ConfigurationDocumentPtr document;

  friend bool operator==(const PutInForce&, const PutInForce&) = default;
};

/// A host has confirmed a revision: InForceTracker::OnConfirmed is to be told.
struct RevisionConfirmed {
  HostId host;
  Incarnation incarnation;
  Revision revision;

  friend bool operator==(const RevisionConfirmed&,
                         const RevisionConfirmed&) = default;
};

/// A relay has confirmed for its domain: InForceTracker::OnDomain is to be
/// told.
struct DomainConfirmed {
  DomainConfirmation confirmation;

  friend bool operator==(const DomainConfirmed&,
                         const DomainConfirmed&) = default;
};

/// An action of the spread core.
using SpreadAction = std::variant<SendSpreadMessage,
                                  ReadRows,
                                  PutInForce,
                                  RevisionConfirmed,
                                  DomainConfirmed>;

/// Actions in the order in which they are to be taken.
using SpreadActions = std::vector<SpreadAction>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_SPREAD_ACTION_H_
