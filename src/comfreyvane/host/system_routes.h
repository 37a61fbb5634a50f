/// @file
/// Routes that the system answers itself.
#ifndef COMFREYVANE_HOST_SYSTEM_ROUTES_H_
#define COMFREYVANE_HOST_SYSTEM_ROUTES_H_

#include <string>
#include <string_view>
#include <variant>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/host/host_context.h"
#include "comfreyvane/host/request_terms.h"

namespace comfreyvane {

/// Answers look-ups and gives out tickets. For one thread.
class SystemRoutes {
 public:
  /// JSON, or a refusal.
  using Result = std::variant<std::string, Refusal>;

  explicit SystemRoutes(HostContext& context);

  /// @return whether the path is one of the system's, answered or not.
  [[nodiscard]] static bool Owns(std::string_view path);

  /// @param client IP address of the caller.
  [[nodiscard]] Result Answer(const RequestTerms& terms,
                              const std::string& client,
                              TimePoint now);

 private:
  struct Caller {
    std::shared_ptr<const ConfigurationIndex> configuration;
    const Service* service = nullptr;
    WorkspaceId workspace;
  };

  [[nodiscard]] std::variant<Caller, Refusal> Identify(
      const RequestTerms& terms,
      const std::string& service,
      TimePoint now);
  [[nodiscard]] Result AnswerSteer(const RequestTerms& terms,
                                   const std::string& client,
                                   TimePoint now);
  [[nodiscard]] Result AnswerTickets(const RequestTerms& terms, TimePoint now);
  [[nodiscard]] std::optional<std::string> IssueTicket(const Caller& caller,
                                                       TimePoint now);

  HostContext& context_;
  ActiveConfiguration::Reader configuration_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_SYSTEM_ROUTES_H_
