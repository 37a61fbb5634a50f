/// @file
/// Adapter to the platform over HTTP and JSON.
#ifndef COMFREYVANE_NET_HTTP_PLATFORM_H_
#define COMFREYVANE_NET_HTTP_PLATFORM_H_

#include <functional>
#include <string>
#include <vector>

#include "comfreyvane/net/http_client.h"
#include "comfreyvane/storage/host_list.h"
#include "comfreyvane/storage/object_store.h"
#include "comfreyvane/storage/table_service.h"

namespace comfreyvane {

/// Meets TableService, ObjectStore and HostList. All that is particular to the
/// platform's protocol is in this file and its source. Used by one thread.
class HttpPlatform {
 public:
  /// @param call_timeout by which every callback is called.
  HttpPlatform(asio::io_context& io,
               TimeoutSweeper& sweeper,
               const tcp::endpoint& server,
               Duration call_timeout);

  void Commit(const TableTransaction& transaction,
              std::function<void(TableOutcome)> on_outcome);
  void Read(const std::vector<std::string>& keys,
            std::function<void(TableReading)> on_reading);
  void Scan(const std::string& prefix,
            std::function<void(TableReading)> on_reading);
  void PutObject(const std::string& name,
                 const std::string& content,
                 std::function<void(TableStatus)> on_stored);
  void ReadObject(const std::string& name,
                  std::function<void(ObjectReading)> on_reading);
  void ReadHosts(
      std::function<void(TableStatus, std::vector<HostListing>)> on_hosts);

 private:
  void Send(HttpCall call, std::function<void(HttpCallResult)> on_result);

  asio::io_context& io_;
  HttpClient client_;
  Duration call_timeout_;
};

static_assert(TableService<HttpPlatform>);
static_assert(ObjectStore<HttpPlatform>);
static_assert(HostList<HttpPlatform>);

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_HTTP_PLATFORM_H_
