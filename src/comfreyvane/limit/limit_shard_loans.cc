#include <algorithm>
#include <unordered_set>

#include "comfreyvane/limit/limit_shard.h"

namespace comfreyvane {
namespace {

/// @return the tokens to transfer with `burst` units of a bucket's burst.
std::int64_t TokensForBurst(const AdmissionBucket& bucket, std::int64_t burst) {
  if (bucket.share().burst <= 0 || burst <= 0)
    return 0;
  const double fraction = static_cast<double>(burst) / bucket.share().burst;
  const auto tokens = static_cast<std::int64_t>(bucket.tokens() * fraction);
  return std::min(tokens, bucket.BurstTokens(burst));
}

}  // namespace

bool LimitShard::ShouldAccept(HostId from, const LoanMessage& message) {
  const auto found = peers_.find(from);
  if (found == peers_.end() || message.shard != shard_)
    return false;
  const std::optional<MessageStamp>& last_stamp = found->second.last_stamp;
  if (!last_stamp || message.stamp.incarnation > last_stamp->incarnation)
    return true;
  return message.stamp.incarnation == last_stamp->incarnation &&
         message.stamp.sequence > last_stamp->sequence;
}

void LimitShard::DropLoansFrom(HostId from, TimePoint now) {
  for (auto& [id, state] : limits_) {
    if (state.borrowed.erase(from) > 0)
      state.bucket.SetSlice(from.value(), {}, now, now);
  }
}

void LimitShard::ApplyReports(HostId from, const LoanMessage& message) {
  for (auto& [id, state] : limits_)
    state.peers[from] = {0, 1};
  for (const DemandReport& report : message.reports) {
    const auto found = limits_.find(report.limit);
    if (found != limits_.end())
      found->second.peers[from] = {
          static_cast<double>(report.demand) / 1000,
          static_cast<double>(report.fill) / kTotalUnits};
  }
}

void LimitShard::ApplyAcks(HostId from,
                           const LoanMessage& message,
                           TimePoint now) {
  for (const LoanAck& ack : message.acks) {
    const auto found = limits_.find(ack.limit);
    if (found == limits_.end())
      continue;
    LimitState& state = found->second;
    const auto lent = state.lent.find(from);
    if (lent == state.lent.end())
      continue;
    LentLoan& loan = lent->second;
    if (loan.is_acked || loan.version != ack.version ||
        loan.borrower != message.stamp.incarnation)
      continue;
    loan.is_acked = true;
    const Share returned = loan.outstanding - loan.share;
    loan.outstanding = loan.share;
    RefreshOwnSlices(state, now);
    state.bucket.AddTokens(
        std::clamp<std::int64_t>(ack.tokens, 0,
                                 state.bucket.BurstTokens(returned.burst)),
        now);
    if (loan.share == Share{})
      state.lent.erase(lent);
  }
}

void LimitShard::ApplyLoans(HostId from,
                            const LoanMessage& message,
                            TimePoint now) {
  if (!message.echo || message.echo->incarnation != incarnation_ ||
      message.loan_lifetime <= Duration{0})
    return;
  const TimePoint expiry = message.echo->sent_at + message.loan_lifetime;
  std::unordered_set<LimitId> listed_limits;
  for (const Loan& loan : message.loans) {
    listed_limits.insert(loan.limit);
    ApplyLoan(from, loan, expiry, now);
  }
  for (auto& [id, state] : limits_) {
    const auto borrowed = state.borrowed.find(from);
    if (borrowed == state.borrowed.end() || listed_limits.contains(id))
      continue;
    borrowed->second.in_last_message = false;
    if (state.bucket.slice(from.value()) != Share{})
      state.bucket.SetSlice(from.value(), {}, now, now);
  }
}

void LimitShard::ApplyLoan(HostId from,
                           const Loan& loan,
                           TimePoint expiry,
                           TimePoint now) {
  const auto found = limits_.find(loan.limit);
  if (found == limits_.end() || expiry <= now || loan.share.rate < 0 ||
      loan.share.burst < 0)
    return;
  LimitState& state = found->second;
  BorrowedLoan& borrowed = state.borrowed[from];
  borrowed.in_last_message = true;
  if (loan.version < borrowed.version)
    return;
  const bool is_new_version = loan.version > borrowed.version;
  if (is_new_version) {
    state.bucket.Advance(now);
    const Share old = state.bucket.slice(from.value());
    borrowed.version = loan.version;
    borrowed.returned = state.bucket.RemoveTokens(
        TokensForBurst(state.bucket, old.burst - loan.share.burst), now);
    peers_.at(from).has_urgent_update = true;
  }
  state.bucket.SetSlice(from.value(), loan.share, expiry, now);
  if (is_new_version)
    state.bucket.AddTokens(
        std::clamp<std::int64_t>(loan.tokens, 0,
                                 state.bucket.BurstTokens(loan.share.burst)),
        now);
}

void LimitShard::Lend(LimitState& state,
                      HostId to,
                      Share desired,
                      TimePoint now) {
  const auto found = state.lent.find(to);
  const Incarnation borrower = peers_.at(to).last_stamp->incarnation;
  if (found == state.lent.end() && desired == Share{})
    return;
  if (found != state.lent.end() &&
      (!found->second.is_acked || found->second.borrower != borrower))
    return;
  const std::int64_t units = own_.At(now);
  const Share spare = Max(Share{units, units} - Outstanding(state), Share{});
  const Share held =
      found == state.lent.end() ? Share{} : found->second.outstanding;
  const Share share = Min(desired, held + spare);
  if (share == held)
    return;
  LentLoan& loan = state.lent[to];
  const std::int64_t tokens = state.bucket.RemoveTokens(
      TokensForBurst(state.bucket, share.burst - held.burst), now);
  loan = {borrower,
          ++version_,
          share,
          Max(held, share),
          tokens,
          false,
          std::max(loan.latest_expiry, now)};
  RefreshOwnSlices(state, now);
  peers_.at(to).has_urgent_update = true;
}

void LimitShard::EraseExpiredLoans(LimitState& state, TimePoint now) {
  const auto has_expired = [now](const auto& entry) {
    return now > entry.second.latest_expiry;
  };
  if (std::erase_if(state.lent, has_expired) > 0)
    RefreshOwnSlices(state, now);
}

void LimitShard::ReduceLoansToOwnShare(LimitState& state, TimePoint now) {
  if (state.lent.empty())
    return;
  Share total;
  for (const auto& [host, loan] : state.lent)
    total = total + loan.share;
  const std::int64_t units = own_.At(now);
  if (total.rate <= units && total.burst <= units)
    return;
  for (auto& [host, loan] : state.lent) {
    if (total.rate > units)
      loan.share.rate = loan.share.rate * units / total.rate;
    if (total.burst > units)
      loan.share.burst = loan.share.burst * units / total.burst;
    loan.version = ++version_;
    loan.tokens = 0;
    loan.is_acked = false;
    peers_.at(host).has_urgent_update = true;
  }
}

Share LimitShard::Outstanding(const LimitState& state) {
  Share sum;
  for (const auto& [host, loan] : state.lent)
    sum = sum + loan.outstanding;
  return sum;
}

void LimitShard::RefreshOwnSlices(LimitState& state, TimePoint now) {
  const Share lent = Outstanding(state);
  const std::int64_t dynamic_units =
      now < own_.dynamic_until ? own_.dynamic : 0;
  const Share all_dynamic{dynamic_units, dynamic_units};
  const Share all_base{own_.base, own_.base};
  const Share dynamic = Max(all_dynamic - lent, Share{});
  const Share base = Max(all_base - Max(lent - all_dynamic, Share{}), Share{});
  state.bucket.SetSlice(kOwnDynamicSource, dynamic, own_.dynamic_until, now);
  state.bucket.SetSlice(kOwnBaseSource, base, own_.base_until, now);
}

}  // namespace comfreyvane
