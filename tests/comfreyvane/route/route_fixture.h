/// @file
/// Fixtures of the tests of package route.
#ifndef TESTS_COMFREYVANE_ROUTE_ROUTE_FIXTURE_H_
#define TESTS_COMFREYVANE_ROUTE_ROUTE_FIXTURE_H_

#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <variant>
#include <vector>

#include "comfreyvane/route/route_core.h"

namespace comfreyvane::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
inline const ServiceId kService = ServiceId::Of("script-serving");

using Chosen = std::variant<RouteChoice, Refusal>;

inline Chosen Choose(RouteCore& core,
                     const RouteRequest& request,
                     TimePoint now) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Chosen> {
        auto choice = core.Choose(request, now);
        if (!choice)
          return choice.error();
        return Chosen(*choice);
      },
      [](const Refusal& refusal) { return Chosen(refusal); },
      [] { return Chosen(Refusal{RefusalReason::kInternal}); });
}

inline RouteServer Server(int number,
                          Distance distance = Distance::kSameFailureDomain,
                          std::uint32_t slots = 3) {
  const std::string name = "server-" + std::to_string(number);
  const auto site = static_cast<int>(distance);
  return {.id = BackendServerId::Of(name),
          .site = SiteId::Of("site-" + std::to_string(site)),
          .region = RegionId::Of(site == 2 ? "far" : "near"),
          .distance = distance,
          .slots = slots,
          .connection_quota = 30};
}

inline std::vector<RouteServer> Servers(int count) {
  std::vector<RouteServer> servers;
  for (int i = 0; i < count; ++i)
    servers.push_back(Server(i));
  return servers;
}

inline RouteRequest Read(std::uint64_t affinity = 0) {
  return {.affinity = RequestId(affinity), .idempotent = true};
}

/// Chooses a server for a request, starts it and finishes it.
/// @return the server, or zero if the request was refused.
inline BackendServerId RunOne(RouteCore& core,
                              const RouteRequest& request,
                              RequestOutcome outcome,
                              Duration latency,
                              TimePoint now) {
  const Chosen chosen = Choose(core, request, now);
  const auto* choice = std::get_if<RouteChoice>(&chosen);
  if (choice == nullptr ||
      !core.TryStart(choice->server, request.isolated, now))
    return {};
  core.Finish(choice->server, outcome, latency, now);
  return choice->server;
}

inline ServerState StateOf(const RouteCore& core,
                           BackendServerId server,
                           TimePoint now) {
  for (const ServerState& state : core.States(now)) {
    if (state.server == server)
      return state;
  }
  return {};
}

}  // namespace comfreyvane::testing

#endif  // TESTS_COMFREYVANE_ROUTE_ROUTE_FIXTURE_H_
