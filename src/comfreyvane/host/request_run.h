/// @file
/// State of one request on its way.
#ifndef COMFREYVANE_HOST_REQUEST_RUN_H_
#define COMFREYVANE_HOST_REQUEST_RUN_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/config/configuration_index.h"
#include "comfreyvane/host/once_claim.h"
#include "comfreyvane/host/request_terms.h"

namespace comfreyvane {

/// State of one request on its way through the host.
struct RequestRun {
  TimePoint started;
  TimePoint deadline;
  RequestId id;
  std::string id_text;
  RequestTerms terms;
  std::shared_ptr<const ConfigurationIndex> configuration;
  const Service* service = nullptr;
  const Workspace* workspace = nullptr;  ///< Null without a key.
  KeyId key;
  RequestId fingerprint;

  /// The beginning of the body. A body that is complete with it can be sent
  /// again.
  std::vector<char> first_part;
  bool body_complete = false;

  std::optional<OnceClaim> claim;

  [[nodiscard]] WorkspaceId workspace_id() const {
    return workspace == nullptr ? WorkspaceId()
                                : WorkspaceId::Of(workspace->name);
  }
  [[nodiscard]] ServiceId service_id() const {
    return ServiceId::Of(service->name);
  }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_REQUEST_RUN_H_
