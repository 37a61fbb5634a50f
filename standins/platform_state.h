/// @file
/// State of the platform stand-in.
#ifndef STANDINS_PLATFORM_STATE_H_
#define STANDINS_PLATFORM_STATE_H_

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/storage/host_listing.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_reading.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane::standin {

/// A transactional table, an object store and a lagging host list in memory.
/// Safe for use by several threads.
class PlatformState {
 public:
  [[nodiscard]] TableOutcome Commit(const TableTransaction& transaction);
  [[nodiscard]] TableReading Read(const std::vector<std::string>& keys);
  [[nodiscard]] TableReading Scan(const std::string& prefix);

  void PutObject(const std::string& name, std::string content);
  [[nodiscard]] std::optional<std::string> ReadObject(const std::string& name);

  /// Adds or replaces a host in the list.
  void PutHost(const HostListing& host, TimePoint now);
  void RemoveHost(const std::string& name, TimePoint now);
  /// @param lag age of the list that is shown.
  [[nodiscard]] std::vector<HostListing> Hosts(Duration lag, TimePoint now);

  /// @return transactions that took effect, and reads served.
  [[nodiscard]] std::uint64_t commits();
  [[nodiscard]] std::uint64_t reads();

 private:
  struct HostListAt {
    TimePoint since;
    std::map<std::string, HostListing> hosts;
  };

  [[nodiscard]] TableRow RowAt(const std::string& key) const;
  [[nodiscard]] std::map<std::string, HostListing>& NewHostList(TimePoint now);

  std::mutex mutex_;
  std::map<std::string, TableRow> rows_;
  std::unordered_map<std::string, TableOutcome> outcomes_;
  std::deque<std::string> outcome_order_;
  std::map<std::string, std::string> objects_;
  std::deque<HostListAt> host_lists_;
  std::uint64_t revision_ = 0;
  std::uint64_t commits_ = 0;
  std::uint64_t reads_ = 0;
};

}  // namespace comfreyvane::standin

#endif  // STANDINS_PLATFORM_STATE_H_
