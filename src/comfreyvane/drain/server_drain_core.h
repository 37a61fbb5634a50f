/// @file
/// Decides when backend servers are drained of this host's work.
#ifndef COMFREYVANE_DRAIN_SERVER_DRAIN_CORE_H_
#define COMFREYVANE_DRAIN_SERVER_DRAIN_CORE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/drain/server_drained.h"

namespace comfreyvane {

/// Keeps new work off leaving backend servers and reports when the last request
/// of this host has finished there. Without I/O; not thread safe.
class ServerDrainCore {
 public:
  /// Marks a server, by the configuration in force or by its own report. From
  /// this moment MayDispatch refuses it.
  /// @return the report, when nothing of this host runs there.
  [[nodiscard]] std::optional<ServerDrained> MarkLeaving(BackendServerId server,
                                                         TimePoint now);

  /// Takes the mark away, when the configuration or the server says so.
  void MarkAvailable(BackendServerId server);

  /// Counts a request as running there. Only after a MayDispatch that allowed
  /// it, under the same lock.
  void OnDispatched(BackendServerId server);

  /// Counts a request as finished there.
  /// @return the report, when it was the last one at a leaving server.
  [[nodiscard]] std::optional<ServerDrained> OnFinished(BackendServerId server,
                                                        TimePoint now);

  /// To be asked at the moment of dispatch, not when the server was chosen.
  [[nodiscard]] bool MayDispatch(BackendServerId server) const;

  /// @return requests of this host that run there.
  [[nodiscard]] std::uint32_t running(BackendServerId server) const;

 private:
  struct Entry {
    std::uint32_t running = 0;
    std::optional<TimePoint> leaving_since;
  };

  std::unordered_map<BackendServerId, Entry> servers_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_SERVER_DRAIN_CORE_H_
