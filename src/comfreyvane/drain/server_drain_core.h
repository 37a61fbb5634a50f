/// @file
/// Tracks when backend servers are drained of this host's requests.
#ifndef COMFREYVANE_DRAIN_SERVER_DRAIN_CORE_H_
#define COMFREYVANE_DRAIN_SERVER_DRAIN_CORE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/drain/server_drained.h"

namespace comfreyvane {

/// Keeps new requests off leaving backend servers and reports when this host's
/// last request there has finished. Performs no I/O; not thread safe.
class ServerDrainCore {
 public:
  /// Marks a server as leaving, according to the configuration or to the server
  /// itself. MayDispatch returns false for it from now on. Has no effect if the
  /// server is marked already.
  /// @return the report, if no request of this host is running there.
  [[nodiscard]] std::optional<ServerDrained> MarkLeaving(BackendServerId server,
                                                         TimePoint now);

  /// Removes the mark, according to the configuration or to the server itself.
  void MarkAvailable(BackendServerId server);

  /// Counts a request as running there. MayDispatch must have returned true
  /// under the same lock.
  void OnDispatched(BackendServerId server);

  /// Counts a request as finished there.
  /// @return the report, if it was the last one at a leaving server.
  [[nodiscard]] std::optional<ServerDrained> OnFinished(BackendServerId server,
                                                        TimePoint now);

  /// @return whether a request may be sent to the server. Check at dispatch,
  ///     not when the server is selected.
  [[nodiscard]] bool MayDispatch(BackendServerId server) const;

  /// @return the number of this host's requests running there.
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
