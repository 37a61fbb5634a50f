#include "comfreyvane/host/limit_driver.h"

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>

#include "comfreyvane/config/configuration_index.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/json_text.h"
#include "comfreyvane/wire/limit_codec.h"

namespace comfreyvane {
namespace {

constexpr Duration kExchangePeriod = std::chrono::milliseconds(250);

/// Time in which a starting host hears of its live peers.
constexpr Duration kPeersHeard = std::chrono::milliseconds(600);

/// Row of the table of shares of all hosts.
constexpr char kSharesKey[] = "limit/shares";

GrantManager::Options OptionsOf(const HostContext& host) {
  return {host.self,
          host.incarnation,
          FailureDomainId::Of(host.settings.failure_domain),
          RegionId::Of(host.settings.region),
          LeaseTerms{},
          host.incarnation.value()};
}

RegionId RegionOf(const ConfigurationIndex* configuration,
                  FailureDomainId domain) {
  const FailureDomain* const found =
      configuration == nullptr ? nullptr : configuration->Find(domain);
  return found == nullptr ? RegionId() : RegionId::Of(found->region);
}

/// A peer of another release may write what this one cannot read.
void LogUnreadable(HostId from, const char* method) {
  Log(LogLevel::kWarning, "peer-message-unreadable",
      {{"host", from}, {"method", method}});
}

std::optional<ShareTable> TableOf(const std::string& text) {
  if (text.empty())
    return ShareTable{};
  const auto json = ParseJson(text);
  if (!json)
    return std::nullopt;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<ShareTable>> {
        BOOST_LEAF_AUTO(table, ShareTableFromJson(*json));
        return std::optional<ShareTable>(std::move(table));
      },
      [] { return std::optional<ShareTable>(); });
}

SharesReading ReadingOf(const TableReading& reading) {
  if (reading.status != TableStatus::kDone || reading.rows.size() != 1)
    return {reading.status, {}, {}};
  const auto table = TableOf(reading.rows.front().value);
  if (!table)
    return {TableStatus::kMalformed, {}, {}};
  return {TableStatus::kDone, reading.rows.front().revision, *table};
}

}  // namespace

LimitDriver::LimitDriver(ControlContext& context, TimePoint now)
    : context_(context),
      grant_manager_(OptionsOf(context.host), now),
      keep_from_(now + kPeersHeard),
      next_exchange_(now) {}

void LimitDriver::OnTick(TimePoint now) {
  const bool hurry = context_.host.exchange_requested.exchange(
      false, std::memory_order_relaxed);
  if (now < next_exchange_ && !hurry)
    return;
  if (now >= next_exchange_) {
    next_exchange_ = now + kExchangePeriod;
    // A host that does not know its peers yet would take all shares.
    if (now >= keep_from_)
      Take(grant_manager_.OnTick(now), now);
  }
  ShardedLimits& limits = context_.host.limits;
  for (std::uint32_t shard = 0; shard < limits.size(); ++shard) {
    Send(limits.With(shard,
                     [&](LimitShard& state) { return state.OnTick(now); }));
  }
}

void LimitDriver::OnMembers(const MemberView& view,
                            const ConfigurationIndex* configuration,
                            TimePoint now) {
  std::vector<PeerHost> peers;
  for (const Member* member : view.Live()) {
    if (member->id == context_.host.self)
      continue;
    peers.push_back({member->id, member->incarnation, member->domain(),
                     RegionOf(configuration, member->domain())});
  }
  grant_manager_.OnPeers(peers, now);
  ShardedLimits& limits = context_.host.limits;
  for (std::uint32_t shard = 0; shard < limits.size(); ++shard)
    limits.With(shard, [&](LimitShard& state) { state.OnPeers(peers, now); });
}

void LimitDriver::OnConfiguration(const ConfigurationIndex& configuration,
                                  TimePoint now) {
  std::vector<Limit> limits;
  for (const Workspace& workspace : configuration.configuration().workspaces) {
    limits.push_back({WorkspaceLimit(WorkspaceId::Of(workspace.name)),
                      workspace.rate, workspace.burst});
  }
  context_.host.limits.OnLimits(limits, configuration.revision(), now);
}

void LimitDriver::OnLoans(HostId from, const Json::Value& json, TimePoint now) {
  const auto message = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<LoanMessage>> {
        BOOST_LEAF_AUTO(parsed, LoanMessageFromJson(json));
        return std::optional<LoanMessage>(std::move(parsed));
      },
      [] { return std::optional<LoanMessage>(); });
  ShardedLimits& limits = context_.host.limits;
  if (!message || message->shard >= limits.size()) {
    LogUnreadable(from, peer_method::kLoans);
    return;
  }
  Send(limits.With(message->shard, [&](LimitShard& state) {
    return state.OnPeerMessage(from, *message, now);
  }));
}

void LimitDriver::OnGuard(HostId from, const Json::Value& json, TimePoint now) {
  const auto message = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<GrantMessage>> {
        BOOST_LEAF_AUTO(parsed, GrantMessageFromJson(json));
        return std::optional<GrantMessage>(std::move(parsed));
      },
      [] { return std::optional<GrantMessage>(); });
  if (!message) {
    LogUnreadable(from, peer_method::kGuard);
    return;
  }
  Take(grant_manager_.OnPeerMessage(from, *message, now), now);
}

void LimitDriver::Stop(TimePoint now) {
  ShardedLimits& limits = context_.host.limits;
  for (std::uint32_t shard = 0; shard < limits.size(); ++shard) {
    Send(
        limits.With(shard, [&](LimitShard& state) { return state.Stop(now); }));
  }
  Take(grant_manager_.Stop(now), now);
}

void LimitDriver::Take(const GrantManagerActions& actions, TimePoint now) {
  for (const SendGrantMessage& send : actions.messages)
    context_.peers.Send(send.to, peer_method::kGuard, ToJson(send.message));
  if (actions.commit)
    Commit(*actions.commit);
  if (actions.read_table)
    ReadTable();
  ShareWithShards(now);
}

void LimitDriver::Send(const std::vector<SendLoanMessage>& messages) {
  for (const SendLoanMessage& send : messages)
    context_.peers.Send(send.to, peer_method::kLoans, ToJson(send.message));
}

void LimitDriver::Commit(const CommitShares& commit) {
  TableTransaction transaction;
  transaction.id = commit.transaction_id;
  transaction.conditions.push_back({kSharesKey, commit.condition});
  transaction.writes.push_back({kSharesKey, ToText(ToJson(commit.table))});
  context_.platform.Commit(transaction, [this](const TableOutcome& outcome) {
    const TimePoint now = MonotonicNow();
    Take(grant_manager_.OnSharesOutcome(
             {outcome.transaction_id, outcome.status, outcome.revision}, now),
         now);
  });
}

void LimitDriver::ReadTable() {
  context_.platform.Read({kSharesKey}, [this](const TableReading& reading) {
    const TimePoint now = MonotonicNow();
    Take(grant_manager_.OnSharesReading(ReadingOf(reading), now), now);
  });
}

void LimitDriver::ShareWithShards(TimePoint now) {
  const OwnShare own = grant_manager_.own_share(now);
  ShardedLimits& limits = context_.host.limits;
  for (std::uint32_t shard = 0; shard < limits.size(); ++shard)
    limits.With(shard, [&](LimitShard& state) { state.OnOwnShare(own, now); });
}

}  // namespace comfreyvane
