/// @file
/// Idle connections to backend servers.
#ifndef COMFREYVANE_NET_BACKEND_POOL_H_
#define COMFREYVANE_NET_BACKEND_POOL_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/net/fwd.h"

namespace comfreyvane {

/// The idle connections of one thread, the last used first.
class BackendPool {
 public:
  /// @param idle_limit age at which an idle connection is not trusted.
  explicit BackendPool(Duration idle_limit);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// @return an idle connection that looks alive, or null.
  [[nodiscard]] std::unique_ptr<BackendConnection> Take(BackendServerId server,
                                                        TimePoint now);

  /// @pre connection->reusable().
  void Give(BackendServerId server,
            std::unique_ptr<BackendConnection> connection,
            TimePoint now);

  /// Closes what has been idle for too long.
  void Prune(TimePoint now);

  /// Closes the idle connections to a server that are not alive.
  /// @return whether others are left.
  [[nodiscard]] bool HasLive(BackendServerId server, TimePoint now);

  /// Closes all idle connections to a server.
  void Drop(BackendServerId server);

  /// @return the number of idle connections to a server.
  [[nodiscard]] std::size_t idle(BackendServerId server) const;

 private:
  using Idle = std::vector<std::unique_ptr<BackendConnection>>;

  [[nodiscard]] bool IsLive(BackendConnection& connection, TimePoint now) const;

  Duration idle_limit_;
  std::unordered_map<BackendServerId, Idle> idle_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_BACKEND_POOL_H_
