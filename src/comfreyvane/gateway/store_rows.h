/// @file
/// Applies the rows of the store's tables to the gateway.
#ifndef COMFREYVANE_GATEWAY_STORE_ROWS_H_
#define COMFREYVANE_GATEWAY_STORE_ROWS_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "comfreyvane/edge/entry_history.h"
#include "comfreyvane/edge/registry_tracker.h"
#include "comfreyvane/edge/store_table.h"
#include "comfreyvane/gateway/fleet_codec.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/storage/table_feed.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane {

/// Applies the rows of the store's tables to the gateway, and knows which rows
/// this host has to write.
/// @tparam Platform decodes the rows.
template <typename Platform>
class StoreRows {
 public:
  explicit StoreRows(GatewayState& state) : state_(state) {}

  /// Applies changed rows of a table.
  void ApplyChanges(StoreTable table, const TableFeed& feed, TimePoint now) {
    for (const TableRow& row : feed.rows)
      Apply(table, row, now);
    if (table == StoreTable::kHosts && !feed.rows.empty())
      ApplyHosts(now);
  }

  /// Applies all rows of a table.
  /// @param keeps_missing whether known rows that are missing stay in effect.
  void ApplySnapshot(StoreTable table,
                     const TableFeed& feed,
                     bool keeps_missing,
                     TimePoint now) {
    if (!keeps_missing)
      DeleteMissing(table, feed, now);
    else if (table == StoreTable::kHosts)
      EraseOwn([&feed](const std::string& key) { return Contains(feed, key); });
    for (const TableRow& row : feed.rows)
      Apply(table, row, now);
    if (table == StoreTable::kHosts)
      ApplyHosts(now);
    if (table == StoreTable::kBackends) {
      Log(LogLevel::kInfo, "registry-read",
          {{"entries", feed.rows.size()}, {"position", feed.position}});
    }
  }

  /// Records a failed call to the store.
  /// @param begun start of the call.
  void OnStoreFailure(TimePoint begun) { backends_.OnStoreFailure(begun); }

  /// Records that the store was restored from an older copy. Outdated entries
  /// may reappear in it, and this host's own rows may be missing.
  void OnRestored(std::uint64_t era, TimePoint now) {
    era_ = era;
    backends_.OnStoreFailure(now);
    outdated_entries_until_ = now + EntryHistory::kRetention;
    EraseOwn([](const std::string&) { return false; });
  }

  /// @param text encoded row of this host.
  /// @return the transaction that writes this host's row and the fleet's
  ///     secret; without writes if the table has both or has not been read.
  [[nodiscard]] TableTransaction OwnRowsToWrite(const std::string& text) {
    TableTransaction change;
    if (!has_read_hosts_ || state_.context().leaving)
      return change;
    const auto& hosts = rows_[StoreTable::kHosts];
    const std::string& name = state_.context().settings.name;
    const auto own = hosts.find(name);
    if (own == hosts.end() || own->second.value != text)
      change.writes.push_back({name, text});
    const std::string secret_key(kSecretRowKey);
    if (!hosts.contains(secret_key)) {
      change.conditions.push_back({secret_key, Revision()});
      // Writes the current secret again if the store has lost it.
      change.writes.push_back({secret_key, state_.fleet_secret().empty()
                                               ? state_.GenerateSecret()
                                               : state_.fleet_secret()});
    }
    return change;
  }

  /// Removes servers whose entries have been deleted. Must be called
  /// periodically.
  void OnTick(TimePoint now) {
    for (const std::string& key : backends_.TakeRemoved(now)) {
      history_.OnRemoved(key, now);
      state_.RemoveBackend(key, now);
    }
    history_.Prune(now);
  }

  [[nodiscard]] bool has_read_hosts() const { return has_read_hosts_; }
  /// @return whether the newest configuration could not be read, so that an
  ///     older one is in force.
  [[nodiscard]] bool has_skipped_configuration() const {
    return has_skipped_configuration_;
  }

 private:
  static constexpr std::string_view kSecretRowKey = "!secret";

  [[nodiscard]] static bool Contains(const TableFeed& feed,
                                     const std::string& key) {
    return std::any_of(feed.rows.begin(), feed.rows.end(),
                       [&key](const TableRow& row) { return row.key == key; });
  }

  void DeleteMissing(StoreTable table, const TableFeed& feed, TimePoint now) {
    std::vector<std::string> missing;
    for (const auto& [key, row] : rows_[table]) {
      if (!Contains(feed, key))
        missing.push_back(key);
    }
    for (const std::string& key : missing)
      Apply(table, TableRow{key, {}, Revision()}, now);
  }

  /// Erases this host's own rows from the known rows, so that they are written
  /// again immediately.
  /// @param is_kept whether a row is kept.
  template <typename IsKept>
  void EraseOwn(IsKept is_kept) {
    for (const std::string& key :
         {state_.context().settings.name, std::string(kSecretRowKey)}) {
      if (!is_kept(key))
        rows_[StoreTable::kHosts].erase(key);
    }
  }

  void Apply(StoreTable table, const TableRow& row, TimePoint now) {
    const bool deleted = row.revision == Revision();
    if (deleted)
      rows_[table].erase(row.key);
    else
      rows_[table][row.key] = row;
    if (table == StoreTable::kOperator)
      ApplyOperator(row, deleted, now);
    else if (table == StoreTable::kBackends)
      ApplyBackend(row, deleted, now);
    else if (row.key == kSecretRowKey && !deleted)
      state_.SetFleetSecret(row.value);
  }

  void ApplyOperator(const TableRow& row, bool deleted, TimePoint now) {
    const auto decoded = Platform::DecodeOperatorRow(row);
    using Table = std::shared_ptr<const RouteTable>;
    if (const auto* table = std::get_if<Table>(&decoded)) {
      has_skipped_configuration_ = false;
      if (!deleted)
        state_.ApplyConfiguration(*table, now);
    } else if (const auto* fault = std::get_if<2>(&decoded)) {
      if (!deleted) {
        has_skipped_configuration_ =
            has_skipped_configuration_ || Platform::IsConfiguration(row);
        SkipRow(row, Name(*fault));
      }
    } else {
      const auto& domain = std::get<1>(decoded).failure_domain;
      state_.SetEvacuated(domain, !deleted, now);
    }
  }

  void ApplyBackend(const TableRow& row, bool deleted, TimePoint now) {
    if (deleted) {
      backends_.OnDeleted(row.key, now);
      OnTick(now);
      return;
    }
    const auto decoded = Platform::DecodeBackendRow(row);
    if (const auto* entry = std::get_if<BackendEntry>(&decoded)) {
      if (now < outdated_entries_until_ && history_.IsOutdated(*entry)) {
        Log(LogLevel::kWarning, "entry-outdated",
            {{"server", entry->name},
             {"sequence", entry->sequence},
             {"era", era_}});
        return;
      }
      history_.OnListed(*entry);
      backends_.OnListed(row.key);
      state_.UpsertBackend(*entry, now);
      return;
    }
    SkipRow(row, Name(std::get<1>(decoded)));
    // The earlier entry under this key must not be used any more either.
    backends_.OnDeleted(row.key, now);
  }

  void SkipRow(const TableRow& row, std::string_view reason) {
    state_.context().metrics.Count(CounterName::kSkippedRows);
    Log(LogLevel::kWarning, "row-skipped",
        {{"row", row.key}, {"revision", row.revision}, {"reason", reason}});
  }

  void ApplyHosts(TimePoint now) {
    std::vector<FleetHost> hosts;
    for (const auto& [key, row] : rows_[StoreTable::kHosts]) {
      if (key == kSecretRowKey)
        continue;
      if (auto host = ParseFleetHost(row.value))
        hosts.push_back(std::move(*host));
      else
        SkipRow(row, "not-a-host");
    }
    state_.SetHosts(hosts, now);
    has_read_hosts_ = true;
  }

  GatewayState& state_;
  std::map<StoreTable, std::map<std::string, TableRow>> rows_;
  EntryHistory history_;
  RegistryTracker backends_;
  TimePoint outdated_entries_until_{};  ///< Old entries may reappear.
  std::uint64_t era_ = 0;
  bool has_read_hosts_ = false;
  bool has_skipped_configuration_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_STORE_ROWS_H_
