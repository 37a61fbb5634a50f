#include "standins/platform_state.h"

#include <utility>

namespace comfreyvane::standin {
namespace {

constexpr std::size_t kRememberedOutcomes = 100000;
constexpr std::size_t kRememberedHostLists = 1000;

}  // namespace

TableRow PlatformState::RowAt(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? TableRow{key, {}, Revision()} : found->second;
}

TableOutcome PlatformState::Commit(const TableTransaction& transaction) {
  const std::lock_guard lock(mutex_);
  if (const auto known = outcomes_.find(transaction.id);
      known != outcomes_.end())
    return known->second;
  TableOutcome outcome{transaction.id, TableStatus::kDone, {}, {}};
  for (const TableCondition& condition : transaction.conditions) {
    TableRow row = RowAt(condition.key);
    if (row.revision != condition.revision)
      outcome.conflicts.push_back(std::move(row));
  }
  if (!outcome.conflicts.empty()) {
    outcome.status = TableStatus::kConflict;
    return outcome;
  }
  outcome.revision = Revision(++revision_);
  for (const TableWrite& write : transaction.writes) {
    if (write.value)
      rows_[write.key] = {write.key, *write.value, outcome.revision};
    else
      rows_.erase(write.key);
  }
  ++commits_;
  outcomes_.emplace(transaction.id, outcome);
  outcome_order_.push_back(transaction.id);
  if (outcome_order_.size() > kRememberedOutcomes) {
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
  }
  return outcome;
}

TableReading PlatformState::Read(const std::vector<std::string>& keys) {
  const std::lock_guard lock(mutex_);
  ++reads_;
  TableReading reading{TableStatus::kDone, {}};
  for (const std::string& key : keys)
    reading.rows.push_back(RowAt(key));
  return reading;
}

TableReading PlatformState::Scan(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  ++reads_;
  TableReading reading{TableStatus::kDone, {}};
  for (auto row = rows_.lower_bound(prefix);
       row != rows_.end() && row->first.starts_with(prefix); ++row)
    reading.rows.push_back(row->second);
  return reading;
}

void PlatformState::PutObject(const std::string& name, std::string content) {
  const std::lock_guard lock(mutex_);
  objects_[name] = std::move(content);
}

std::optional<std::string> PlatformState::ReadObject(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(name);
  return found == objects_.end() ? std::nullopt
                                 : std::optional<std::string>(found->second);
}

std::map<std::string, HostListing>& PlatformState::NewHostList(TimePoint now) {
  HostListAt next{now, {}};
  if (!host_lists_.empty())
    next.hosts = host_lists_.back().hosts;
  host_lists_.push_back(std::move(next));
  if (host_lists_.size() > kRememberedHostLists)
    host_lists_.pop_front();
  return host_lists_.back().hosts;
}

void PlatformState::PutHost(const HostListing& host, TimePoint now) {
  const std::lock_guard lock(mutex_);
  NewHostList(now)[host.name] = host;
}

void PlatformState::RemoveHost(const std::string& name, TimePoint now) {
  const std::lock_guard lock(mutex_);
  NewHostList(now).erase(name);
}

std::vector<HostListing> PlatformState::Hosts(Duration lag, TimePoint now) {
  const std::lock_guard lock(mutex_);
  std::vector<HostListing> hosts;
  for (auto list = host_lists_.rbegin(); list != host_lists_.rend(); ++list) {
    if (list->since > now - lag)
      continue;
    for (const auto& [name, host] : list->hosts)
      hosts.push_back(host);
    break;
  }
  return hosts;
}

std::uint64_t PlatformState::commits() {
  const std::lock_guard lock(mutex_);
  return commits_;
}

std::uint64_t PlatformState::reads() {
  const std::lock_guard lock(mutex_);
  return reads_;
}

}  // namespace comfreyvane::standin
