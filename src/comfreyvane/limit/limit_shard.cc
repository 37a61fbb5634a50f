#include "comfreyvane/limit/limit_shard.h"

#include <algorithm>
#include <cassert>
#include <unordered_set>

namespace comfreyvane {
namespace {

constexpr Duration kPeerTimeout = std::chrono::seconds(1);
constexpr Duration kPeerRetention = std::chrono::minutes(10);
constexpr Duration kFastExchangePeriod = std::chrono::milliseconds(150);
constexpr Duration kMinBalanceInterval = std::chrono::milliseconds(10);
constexpr Duration kMinUrgentInterval = std::chrono::milliseconds(25);

}  // namespace

LimitShard::LimitShard(const Options& options, TimePoint now)
    : self_(options.self),
      incarnation_(options.incarnation),
      shard_(options.shard),
      terms_(options.terms),
      fast_exchange_until_(now),
      balanced_at_(now),
      next_tick_(now) {}

Admission LimitShard::TryTake(LimitId limit, std::int64_t cost, TimePoint now) {
  const auto found = limits_.find(limit);
  if (found == limits_.end())
    return {false, false, std::chrono::seconds(1)};
  LimitState& state = found->second;
  Admission admission = state.bucket.TryTake(cost, now);
  if (!admission.exchange_requested)
    return admission;
  admission.exchange_requested = now >= state.next_urgent_at;
  if (admission.exchange_requested) {
    const bool first = now > state.next_urgent_at + kLoanInterval;
    state.urgent_interval =
        first ? kMinUrgentInterval
              : std::min(2 * state.urgent_interval, kLoanInterval);
    state.next_urgent_at = now + state.urgent_interval;
    exchange_is_urgent_ = true;
  }
  return admission;
}

std::vector<SendLoanMessage> LimitShard::OnTick(TimePoint now) {
  if (exchange_is_urgent_)
    fast_exchange_until_ = now + kFastExchangePeriod;
  else if (now < next_tick_)
    return {};
  next_tick_ = now + kLoanInterval;
  std::erase_if(peers_, [now](const auto& entry) {
    return !entry.second.is_live &&
           now - entry.second.last_received_at > kPeerRetention;
  });
  Balance(now);
  EraseRemovedLimits(now);
  return Send(false, now);
}

std::vector<SendLoanMessage> LimitShard::OnPeerMessage(
    HostId from,
    const LoanMessage& message,
    TimePoint now) {
  if (!ShouldAccept(from, message))
    return {};
  Peer& peer = peers_.at(from);
  if (peer.last_stamp &&
      peer.last_stamp->incarnation != message.stamp.incarnation)
    DropLoansFrom(from, now);
  peer.last_stamp = message.stamp;
  peer.last_received_at = now;
  peer.own_units = message.own_units;
  peer.is_leaving = message.is_leaving;
  ApplyReports(from, message);
  ApplyAcks(from, message, now);
  ApplyLoans(from, message, now);
  if (message.reply_requested) {
    peer.has_urgent_update = true;
    fast_exchange_until_ = now + kFastExchangePeriod;
  }
  if (now < fast_exchange_until_ && now - balanced_at_ >= kMinBalanceInterval)
    Balance(now);
  return Send(true, now);
}

void LimitShard::OnLimits(std::span<const Limit> limits,
                          Revision revision,
                          TimePoint now) {
  if (revision < revision_)
    return;
  revision_ = revision;
  std::unordered_set<LimitId> configured;
  for (const Limit& limit : limits) {
    configured.insert(limit.id);
    const auto found = limits_.find(limit.id);
    if (found != limits_.end()) {
      found->second.bucket.SetLimit(limit, now);
      continue;
    }
    LimitState state(limit, terms_, now);
    RefreshOwnSlices(state, now);
    limits_.emplace(limit.id, std::move(state));
  }
  for (auto& [id, state] : limits_) {
    const bool is_removed = !configured.contains(id);
    if (is_removed && !state.is_removed) {
      state.removed_at = now;
      state.bucket.SetLimit({.id = id}, now);
    }
    state.is_removed = is_removed;
  }
}

void LimitShard::OnPeers(std::span<const PeerHost> peers, TimePoint now) {
  for (auto& [host, peer] : peers_)
    peer.is_live = false;
  for (const PeerHost& listed_peer : peers) {
    assert(listed_peer.host != self_);
    const auto [entry, added] = peers_.try_emplace(listed_peer.host);
    entry->second.is_live = true;
    if (added)
      entry->second.last_received_at = now;
  }
}

void LimitShard::OnOwnShare(const OwnShare& own, TimePoint now) {
  if (own == own_)
    return;
  own_ = own;
  for (auto& [id, state] : limits_)
    RefreshOwnSlices(state, now);
}

std::vector<SendLoanMessage> LimitShard::Stop(TimePoint now) {
  is_stopping_ = true;
  Balance(now);
  return Send(false, now);
}

const AdmissionBucket* LimitShard::bucket(LimitId limit) const {
  const auto found = limits_.find(limit);
  return found == limits_.end() ? nullptr : &found->second.bucket;
}

Share LimitShard::lent(LimitId limit) const {
  const auto found = limits_.find(limit);
  return found == limits_.end() ? Share{} : Outstanding(found->second);
}

void LimitShard::EraseRemovedLimits(TimePoint now) {
  std::erase_if(limits_, [this, now](const auto& entry) {
    const LimitState& state = entry.second;
    return state.is_removed && state.lent.empty() &&
           now - state.removed_at > 10 * terms_.loan_lifetime;
  });
}

bool LimitShard::IsReachable(const Peer& peer, TimePoint now) const {
  return peer.is_live && peer.last_stamp &&
         now - peer.last_received_at < kPeerTimeout;
}

Duration LimitShard::LoanLifetime(TimePoint now) const {
  TimePoint until = own_.base_until;
  if (own_.dynamic > 0 && now < own_.dynamic_until)
    until = own_.base > 0 ? std::min(until, own_.dynamic_until)
                          : own_.dynamic_until;
  const Duration remaining = std::min(until - now, 2 * terms_.loan_lifetime);
  return std::clamp(SafeLifetime(terms_, remaining), Duration{0},
                    terms_.loan_lifetime);
}

LoanMessage LimitShard::BuildMessage(HostId to, TimePoint now) {
  Peer& peer = peers_.at(to);
  peer.has_urgent_update = false;
  LoanMessage message;
  message.stamp = {incarnation_, ++sequence_, now};
  message.echo = peer.last_stamp;
  message.shard = shard_;
  message.reply_requested = exchange_is_urgent_;
  message.is_leaving = is_stopping_;
  message.own_units = own_.At(now);
  message.loan_lifetime = LoanLifetime(now);
  const bool lends =
      IsReachable(peer, now) && message.loan_lifetime > Duration{0};
  for (auto& [id, state] : limits_) {
    if (state.demand > 0 || state.bucket.tokens() < state.bucket.capacity()) {
      const std::int64_t capacity =
          std::max<std::int64_t>(state.bucket.capacity() / kTotalUnits, 1);
      message.reports.push_back({id,
                                 static_cast<std::int64_t>(state.demand * 1000),
                                 state.bucket.tokens() / capacity});
    }
    const auto lent = state.lent.find(to);
    if (lends && lent != state.lent.end() &&
        lent->second.borrower == peer.last_stamp->incarnation) {
      LentLoan& loan = lent->second;
      const std::int64_t tokens = loan.is_acked ? 0 : loan.tokens;
      message.loans.push_back({id, loan.version, loan.share, tokens});
      if (loan.share != Share{})
        loan.latest_expiry =
            std::max(loan.latest_expiry,
                     LatestExpiry(terms_, now, message.loan_lifetime));
    }
    const auto borrowed = state.borrowed.find(to);
    if (borrowed != state.borrowed.end() && borrowed->second.in_last_message)
      message.acks.push_back(
          {id, borrowed->second.version, borrowed->second.returned});
  }
  return message;
}

std::vector<SendLoanMessage> LimitShard::Send(bool urgent_only, TimePoint now) {
  for (auto& [id, state] : limits_) {
    EraseExpiredLoans(state, now);
    ReduceLoansToOwnShare(state, now);
  }
  std::vector<SendLoanMessage> messages;
  for (auto& [host, peer] : peers_) {
    if (peer.is_live && (peer.has_urgent_update || !urgent_only))
      messages.push_back({host, BuildMessage(host, now)});
  }
  if (!urgent_only)
    exchange_is_urgent_ = false;
  return messages;
}

}  // namespace comfreyvane
