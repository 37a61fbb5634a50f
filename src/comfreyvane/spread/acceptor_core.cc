#include "comfreyvane/spread/acceptor_core.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/spread/head_row.h"

namespace comfreyvane {

namespace {

constexpr Duration kRepeatPeriod = std::chrono::milliseconds(200);

// A change is asked for only on a reading of the row no older than this.
constexpr Duration kReadingValidity = std::chrono::seconds(2);

// An acceptor whose row was not renewed for so long states nothing.
constexpr Duration kStatementLease = std::chrono::hours(2);

// The acceptors write their row anew so often.
constexpr Duration kRenewalPeriod = std::chrono::minutes(10);

// Acceptors of which none was live, and whose row was not renewed, for so long
// are replaced by others. Longer than kStatementLease by more than clocks
// drift.
constexpr Duration kForceAfter = std::chrono::minutes(130);

bool IsLiveRun(const Acceptor& acceptor, const MemberView& view) {
  const Member* member = view.Find(acceptor.host);
  return member != nullptr && member->state == MemberState::kLive &&
         member->incarnation == acceptor.incarnation;
}

bool HasHost(const std::vector<Acceptor>& acceptors, HostId host) {
  return std::ranges::find(acceptors, host, &Acceptor::host) != acceptors.end();
}

}  // namespace

AcceptorCore::AcceptorCore(Acceptor self) : self_(self) {
  row_.key = kAcceptorsKey;
}

AcceptActions AcceptorCore::OnTick(const MemberView& view,
                                   bool relay,
                                   TimePoint now) {
  AcceptActions actions;
  if (!lease_from_)
    lease_from_ = now;
  if (change_) {
    if (repeat_at_ && now >= *repeat_at_) {
      repeat_at_.reset();
      actions.emplace_back(CommitRows{*change_});
    }
    return actions;
  }
  const bool may_change = MayChange(view, relay, now);
  if (!may_change || !read_begun_ || now - *read_begun_ > kReadingValidity)
    return actions;
  std::vector<Acceptor> wanted = Wanted(view);
  const bool renewal = set_.Has(self_) && wanted == set_.acceptors;
  if (renewal && now - *lease_from_ >= kRenewalPeriod)
    Change(set_, now, actions);
  if (!renewal && !wanted.empty())
    Change({set_.epoch + 1, std::move(wanted)}, now, actions);
  return actions;
}

// Only a present acceptor, its own next run, or after a long time anyone.
bool AcceptorCore::MayChange(const MemberView& view,
                             bool relay,
                             TimePoint now) {
  if (set_.acceptors.empty())
    return relay && !leaving_;
  if (set_.Has(self_))
    return true;
  const bool former_run =
      std::ranges::any_of(set_.acceptors, [&](const Acceptor& acceptor) {
        return acceptor.host == self_.host &&
               acceptor.incarnation < self_.incarnation;
      });
  if (former_run && !leaving_)
    return true;
  const bool attended = std::ranges::any_of(
      set_.acceptors,
      [&](const Acceptor& acceptor) { return IsLiveRun(acceptor, view); });
  if (attended || !unattended_since_) {
    unattended_since_ = attended ? std::nullopt : std::optional(now);
    return false;
  }
  return relay && !leaving_ && now - *unattended_since_ >= kForceAfter;
}

bool AcceptorCore::IsFit(const Acceptor& acceptor,
                         const MemberView& view) const {
  return acceptor == self_ ? !leaving_ : IsLiveRun(acceptor, view);
}

std::vector<Acceptor> AcceptorCore::Wanted(const MemberView& view) const {
  std::vector<Acceptor> wanted;
  for (const Acceptor& acceptor : set_.acceptors) {
    if (IsFit(acceptor, view))
      wanted.push_back(acceptor);
  }
  if (!leaving_ && !HasHost(wanted, self_.host) && wanted.size() < kAcceptors)
    wanted.push_back(self_);
  Fill(wanted, view);
  std::sort(wanted.begin(), wanted.end());
  return wanted;
}

// Prefers the first live host of each failure domain that has none yet.
void AcceptorCore::Fill(std::vector<Acceptor>& wanted,
                        const MemberView& view) const {
  const auto domain_of = [&](HostId host) {
    const Member* member = view.Find(host);
    return member == nullptr ? FailureDomainId() : member->domain();
  };
  for (const bool other_domain : {true, false}) {
    for (const Member* member : view.Live()) {
      if (wanted.size() >= kAcceptors)
        return;
      const bool taken =
          HasHost(wanted, member->id) || member->id == self_.host;
      const bool near =
          std::ranges::any_of(wanted, [&](const Acceptor& acceptor) {
            return domain_of(acceptor.host) == member->domain();
          });
      if (!taken && !(other_domain && near))
        wanted.push_back({member->id, member->incarnation});
    }
  }
}

void AcceptorCore::Change(AcceptorSet changed,
                          TimePoint now,
                          AcceptActions& actions) {
  changed_ = std::move(changed);
  changed_at_ = now;
  TableTransaction transaction;
  transaction.id = "acceptors/" + std::to_string(self_.host.value()) + "/" +
                   std::to_string(self_.incarnation.value()) + "/" +
                   std::to_string(next_number_++);
  transaction.conditions = {{kAcceptorsKey, row_.revision}};
  transaction.writes = {{kAcceptorsKey, changed_.Text()}};
  change_ = std::move(transaction);
  uncertain_ = false;
  actions.emplace_back(CommitRows{*change_});
}

void AcceptorCore::OnRow(const TableRow& row, TimePoint begun) {
  if (row.revision < row_.revision)
    return;
  const auto set = AcceptorSet::Parse(row.value);
  if (!set)
    return;
  if (row.revision > row_.revision) {
    unattended_since_.reset();
    // It was written after the former reading was begun, at the earliest.
    if (read_begun_)
      lease_from_ = *read_begun_;
  }
  row_ = row;
  set_ = *set;
  read_begun_ = read_begun_ ? std::max(*read_begun_, begun) : begun;
}

AcceptActions AcceptorCore::OnOutcome(const TableOutcome& outcome,
                                      TimePoint now) {
  if (!change_ || change_->id != outcome.transaction_id)
    return {};
  switch (outcome.status) {
    case TableStatus::kDone:
      row_ = {kAcceptorsKey, changed_.Text(), outcome.revision};
      set_ = changed_;
      lease_from_ = changed_at_;
      change_.reset();
      break;
    case TableStatus::kConflict:
      // The row is not as it was read: nothing more is asked for, and nothing
      // stated, before the next reading.
      change_.reset();
      read_begun_.reset();
      break;
    case TableStatus::kUnknown:
      uncertain_ = true;
      repeat_at_ = now + kRepeatPeriod;
      break;
    case TableStatus::kUnavailable:
    case TableStatus::kMalformed:
      if (uncertain_)
        repeat_at_ = now + kRepeatPeriod;
      else
        change_.reset();
      break;
  }
  return {};
}

bool AcceptorCore::MayAccept() const {
  return set_.Has(self_) && !IsChangingSet();
}

// A renewal leaves the set as it is.
bool AcceptorCore::IsChangingSet() const {
  return change_ && changed_ != set_;
}

std::optional<AcceptorStatement> AcceptorCore::Statement(
    Revision committed,
    std::vector<KeyId> pending_keys,
    TimePoint now) const {
  if (!MayAccept() || !read_begun_ || !lease_from_ ||
      now - *lease_from_ > kStatementLease)
    return std::nullopt;
  return AcceptorStatement{self_, set_, committed, std::move(pending_keys), {}};
}

}  // namespace comfreyvane
