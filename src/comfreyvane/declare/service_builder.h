/// @file
/// Declaration of a service.
#ifndef COMFREYVANE_DECLARE_SERVICE_BUILDER_H_
#define COMFREYVANE_DECLARE_SERVICE_BUILDER_H_

#include <chrono>
#include <deque>
#include <string>

#include "comfreyvane/config/service.h"
#include "comfreyvane/declare/backend_server_builder.h"
#include "comfreyvane/declare/handle.h"
#include "comfreyvane/declare/percent.h"

namespace comfreyvane::declare {

/// Declares one service. Without a call it is keyed, with its records of
/// non-idempotent requests at the hosts.
class ServiceBuilder {
 public:
  /// @param name its name.
  /// @param path_prefix requests whose path starts so go to it; the longest
  ///        prefix wins.
  ServiceBuilder(std::string name, std::string path_prefix);

  /// Open to callers without a key.
  ServiceBuilder& Open();

  /// Non-idempotent requests are recorded in the table service and wait while
  /// that is down.
  ServiceBuilder& RecordInStore();

  /// Deadline for callers that give none, and the longest that one may give.
  ServiceBuilder& Deadline(std::chrono::milliseconds deadline);

  /// Most that a site may gain above its present share in one step.
  ServiceBuilder& ShiftCap(Percent cap);

  /// The part of the traffic that a site should take. A later call for the same
  /// site replaces an earlier one; a share of zero keeps the site declared.
  ServiceBuilder& Share(const SiteHandle& site, Percent share);

  /// Adds a backend server of this service.
  /// @return its builder, valid while the Deployment lives.
  BackendServerBuilder& AddBackendServer(std::string name);

  [[nodiscard]] const Service& value() const { return value_; }
  [[nodiscard]] const std::deque<BackendServerBuilder>& servers() const {
    return servers_;
  }

 private:
  Service value_;
  std::deque<BackendServerBuilder> servers_;
};

}  // namespace comfreyvane::declare

#endif  // COMFREYVANE_DECLARE_SERVICE_BUILDER_H_
