#include <algorithm>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/limit/grant_manager.h"
#include "comfreyvane/limit/share.h"

namespace comfreyvane {
namespace {

/// Share units that a host may use while it is isolated.
constexpr std::int64_t kBaseUnits = 25'000;
/// Smaller amounts, in share units, do not justify a write to the table.
constexpr std::int64_t kMinTransferUnits = 5'000;
/// Share units in transfer at a time; no host can use them meanwhile.
constexpr std::int64_t kMaxTransferUnits = 25'000;
/// Units are transferred only to a peer whose last message is no older.
constexpr Duration kMaxProbeAge = std::chrono::seconds(1);
constexpr Duration kPlanInterval = std::chrono::seconds(1);

}  // namespace

GrantManagerActions GrantManager::OnSharesReading(const SharesReading& reading,
                                                  TimePoint now) {
  if (reading.status != TableStatus::kDone || reading.revision < revision_)
    return {};
  table_ = reading.table;
  revision_ = reading.revision;
  table_known_ = true;
  table_read_at_ = now;
  ApplyTable(now);
  return {};
}

GrantManagerActions GrantManager::OnSharesOutcome(const SharesOutcome& outcome,
                                                  TimePoint now) {
  GrantManagerActions actions;
  if (!pending_ || pending_->commit.transaction_id != outcome.transaction_id)
    return actions;
  const bool conflict = outcome.status == TableStatus::kConflict;
  const double jitter = (conflict ? 0.1 : 0.5) + random_.Uniform() / 2;
  next_plan_ = now + Duration(static_cast<Duration::rep>(
                         static_cast<double>(kPlanInterval.count()) * jitter));
  pending_->in_flight = false;
  if (outcome.status == TableStatus::kUnknown)
    return actions;
  const PendingCommit completed = *pending_;
  pending_.reset();
  if (outcome.status == TableStatus::kConflict) {
    actions.read_table = true;
    return actions;
  }
  if (outcome.status != TableStatus::kDone)
    return actions;
  if (completed.completes_transfer && transfer_) {
    if (Peer* const receiver = FindLivePeer(transfer_->to))
      receiver->outbox.has_new_grant = true;
    transfer_.reset();
  }
  if (outcome.revision >= revision_) {
    revision_ = outcome.revision;
    table_ = completed.commit.table;
    table_known_ = true;
    ConfirmHoldings(completed.first_sent);
    ApplyTable(now);
  }
  return actions;
}

/// Reduces holdings to what the table grants, and drops those that are not in
/// the table. Never adds units: only a commit of this host does that.
void GrantManager::ApplyTable(TimePoint now) {
  std::erase_if(holdings_, [this](const auto& entry) {
    const auto& [id, holding] = entry;
    const bool known = table_.Find(id) != nullptr;
    return !known && (!holding.origin || !table_.Find(*holding.origin));
  });
  for (auto& [id, holding] : holdings_) {
    const ShareGrant* const grant = table_.Find(id);
    if (grant == nullptr)
      continue;
    holding.origin.reset();
    holding.base = std::min(holding.base, grant->base);
    holding.dynamic = std::min(holding.dynamic, grant->dynamic);
  }
  std::map<GrantId, ObservedGeneration> last_stamp;
  for (const ShareGrant& grant : table_.grants) {
    const auto found = generations_.find(grant.id);
    const bool same = found != generations_.end() &&
                      found->second.generation == grant.generation;
    last_stamp[grant.id] = {grant.generation,
                            same ? found->second.first_observed : now};
  }
  generations_ = std::move(last_stamp);
}

/// Updates the holdings after a successful commit of this host, which renews
/// all grants of the host.
/// @param written when the commit was first sent.
void GrantManager::ConfirmHoldings(TimePoint written) {
  const Duration lifetime =
      SafeLifetime(options_.terms, options_.terms.grant_lifetime);
  for (const ShareGrant& grant : table_.grants) {
    if (grant.holder != options_.self ||
        grant.incarnation != options_.incarnation)
      continue;
    const auto [entry, added] = holdings_.try_emplace(grant.id);
    Holding& holding = entry->second;
    if (added)
      holding.usable_from = written;
    holding.base = grant.base;
    holding.dynamic = grant.dynamic;
    if (transfer_ && transfer_->from == grant.id)
      holding.dynamic =
          std::max<std::int64_t>(grant.dynamic - transfer_->units, 0);
    holding.origin.reset();
    holding.renewed_at = written;
    holding.expiry = added ? written + lifetime
                           : std::max(holding.expiry, written + lifetime);
  }
}

bool GrantManager::IsStoreReachable(TimePoint now) const {
  return table_known_ &&
         now - table_read_at_ < 2 * options_.terms.table_poll_interval;
}

void GrantManager::MarkMerges(TimePoint now) {
  if (!IsStoreReachable(now) || transfer_ || now < next_plan_)
    return;
  bool home = true;
  for (auto& [id, holding] : holdings_) {
    if (holding.origin || now < holding.usable_from)
      continue;
    if (!home) {
      holding.is_merging = true;
      holding.is_closing = holding.has_witnesses;
    }
    home = false;
  }
}

/// Starts a transfer to the host with the fewest units, if it has less than
/// half of an equal share.
void GrantManager::PlanTransfer(TimePoint now) {
  if (!IsStoreReachable(now) || transfer_ || pending_ || now < next_plan_)
    return;
  const std::int64_t equal = EqualShareUnits();
  const std::int64_t excess = UnitsOf(self()) - equal;
  if (excess < kMinTransferUnits || holdings_.empty())
    return;
  std::optional<HostIncarnation> receiver_id;
  std::int64_t min_units = equal / 2;
  for (const auto& [host, peer] : peers_) {
    const HostIncarnation candidate{host, peer.host.incarnation};
    if (!peer.is_live || UnitsOf(candidate) >= min_units)
      continue;
    receiver_id = candidate;
    min_units = UnitsOf(candidate);
  }
  if (!receiver_id)
    return;
  Peer& receiver = peers_.at(receiver_id->host);
  if (!receiver.last_stamp || now - receiver.last_received_at > kMaxProbeAge) {
    receiver.outbox.probe = true;
    return;
  }
  auto& [id, holding] = *holdings_.begin();
  const std::int64_t units =
      std::min({excess, equal - min_units, holding.dynamic, kMaxTransferUnits});
  if (units < kMinTransferUnits || holding.origin || holding.is_closing)
    return;
  holding.dynamic -= units;
  transfer_ = Transfer{id, units, *receiver_id, now};
}

bool GrantManager::CanFinishTransfer(TimePoint now) const {
  const auto found = holdings_.find(transfer_->from);
  if (found == holdings_.end())
    return false;
  const Holding& holding = found->second;
  const auto has_confirmed = [&](const Witness& witness) {
    return witness.last_answered_at >= transfer_->started &&
           witness.confirmed >= 0 && witness.confirmed <= holding.dynamic;
  };
  const bool has_witnesses =
      holding.has_witnesses &&
      !std::any_of(holding.witnesses.begin(), holding.witnesses.end(),
                   has_confirmed);
  return !has_witnesses &&
         now > LatestExpiry(options_.terms, transfer_->started,
                            options_.terms.loan_lifetime);
}

void GrantManager::PlanCommit(TimePoint now) {
  if (!table_known_ || pending_ || now < next_plan_)
    return;
  ShareTable table = table_;
  bool changed = RegisterTakeovers(table);
  changed = RemoveExpiredGrants(table, now) || changed;
  changed = FinishMerges(table) || changed;
  changed = ReissueStalledGrants(table, now) || changed;
  const bool completes_transfer = FinishTransfer(table, now);
  changed = ClaimFreeUnits(table) || completes_transfer || changed;
  if (!changed && !IsRenewalDue(now))
    return;
  for (ShareGrant& grant : table.grants) {
    if (grant.holder == options_.self &&
        grant.incarnation == options_.incarnation)
      ++grant.generation;
  }
  const std::uint64_t name =
      HashPair(HashPair(options_.self.value(), options_.incarnation.value()),
               ++next_commit_);
  pending_ = PendingCommit{
      .commit = {.transaction_id = "shares-" + std::to_string(name),
                 .condition = revision_,
                 .table = std::move(table)},
      .first_sent = now,
      .in_flight = false,
      .completes_transfer = completes_transfer};
}

bool GrantManager::IsRenewalDue(TimePoint now) const {
  return std::any_of(
      table_.grants.begin(), table_.grants.end(),
      [this, now](const ShareGrant& grant) {
        if (grant.holder != options_.self ||
            grant.incarnation != options_.incarnation)
          return false;
        const auto found = holdings_.find(grant.id);
        if (found == holdings_.end())
          return true;
        const std::int64_t moving =
            transfer_ && transfer_->from == grant.id ? transfer_->units : 0;
        return now - found->second.renewed_at >
                   options_.terms.grant_renewal_interval ||
               grant.dynamic > found->second.dynamic + moving ||
               grant.base > found->second.base;
      });
}

bool GrantManager::RegisterTakeovers(ShareTable& table) {
  bool changed = false;
  for (auto& [id, holding] : holdings_) {
    ShareGrant* const origin =
        holding.origin ? table.Find(*holding.origin) : nullptr;
    if (origin == nullptr)
      continue;
    holding.base = std::min(holding.base, origin->base);
    holding.dynamic = std::min(holding.dynamic, origin->dynamic);
    origin->base -= holding.base;
    origin->dynamic -= holding.dynamic;
    if (origin->units() == 0) {
      const GrantId gone = origin->id;
      std::erase_if(table.grants,
                    [gone](const ShareGrant& g) { return g.id == gone; });
    }
    table.grants.push_back({id, options_.self, options_.incarnation,
                            holding.base, holding.dynamic, 0});
    changed = true;
  }
  return changed;
}

bool GrantManager::RemoveExpiredGrants(ShareTable& table, TimePoint now) const {
  return std::erase_if(table.grants, [this, now](const ShareGrant& grant) {
           const auto last_stamp = generations_.find(grant.id);
           return last_stamp != generations_.end() &&
                  now > LatestExpiry(options_.terms,
                                     last_stamp->second.first_observed,
                                     options_.terms.grant_lifetime);
         }) > 0;
}

bool GrantManager::ClaimFreeUnits(ShareTable& table) {
  const std::int64_t units =
      std::min(table.FreeUnits(), EqualShareUnits() - UnitsOf(self()));
  if (units < kMinTransferUnits)
    return false;
  AddUnits(table, self(), units);
  return true;
}

bool GrantManager::FinishMerges(ShareTable& table) {
  bool changed = false;
  for (const auto& [id, holding] : holdings_) {
    const ShareGrant* const grant = table.Find(id);
    if (!holding.is_merging || holding.has_witnesses || grant == nullptr)
      continue;
    const std::int64_t units = grant->units();
    std::erase_if(table.grants,
                  [id = id](const ShareGrant& g) { return g.id == id; });
    AddUnits(table, self(), units);
    changed = true;
  }
  return changed;
}

/// Gives a grant that its witnesses no longer renew a new identifier, and
/// thereby new witnesses, once no other host can hold units of it under the old
/// identifier.
bool GrantManager::ReissueStalledGrants(ShareTable& table, TimePoint now) {
  bool changed = false;
  for (const auto& [id, holding] : holdings_) {
    ShareGrant* const grant = table.Find(id);
    if (grant == nullptr || !holding.has_witnesses ||
        now < holding.renewed_until || (transfer_ && transfer_->from == id))
      continue;
    const TimePoint latest_expiry = LatestExpiry(
        options_.terms, holding.renewed_until, options_.terms.grant_lifetime);
    if (grant->dynamic > 0 && now <= latest_expiry)
      continue;
    grant->id = NewGrantId();
    changed = true;
  }
  return changed;
}

bool GrantManager::FinishTransfer(ShareTable& table, TimePoint now) {
  if (!transfer_ || !CanFinishTransfer(now))
    return false;
  ShareGrant* const from = table.Find(transfer_->from);
  if (from == nullptr || from->dynamic < transfer_->units)
    return true;
  const bool receiver_is_live = FindLivePeer(transfer_->to) != nullptr;
  from->dynamic -= transfer_->units;
  AddUnits(table, receiver_is_live ? transfer_->to : self(), transfer_->units);
  return true;
}

/// Adds units to the first grant of a host, or creates a grant for it.
void GrantManager::AddUnits(ShareTable& table,
                            const HostIncarnation& to,
                            std::int64_t units) {
  auto home = std::find_if(
      table.grants.begin(), table.grants.end(), [&to](const ShareGrant& grant) {
        return grant.holder == to.host && grant.incarnation == to.incarnation;
      });
  if (home == table.grants.end()) {
    table.grants.push_back({NewGrantId(), to.host, to.incarnation, 0, 0, 0});
    home = table.grants.end() - 1;
  }
  const std::int64_t base =
      std::clamp<std::int64_t>(kBaseUnits - home->base, 0, units);
  home->base += base;
  home->dynamic += units - base;
}

std::int64_t GrantManager::EqualShareUnits() const {
  const auto live_peers =
      std::count_if(peers_.begin(), peers_.end(),
                    [](const auto& entry) { return entry.second.is_live; });
  return kTotalUnits / (live_peers + 1);
}

std::int64_t GrantManager::UnitsOf(const HostIncarnation& host) const {
  std::int64_t units = 0;
  for (const ShareGrant& grant : table_.grants) {
    if (grant.holder == host.host && grant.incarnation == host.incarnation)
      units += grant.units();
  }
  return units;
}

GrantId GrantManager::NewGrantId() {
  return GrantId(
      HashPair(HashPair(options_.self.value(), options_.incarnation.value()),
               ++next_grant_ << 1U));
}

}  // namespace comfreyvane
