#include "comfreyvane/limit/limit_shard.h"

#include <array>

#include "support/criterion.h"

using namespace std::chrono_literals;
using namespace comfreyvane;

namespace {

constexpr TimePoint kStart{Duration(1s)};
const LimitId kLimit(5);
const HostId kLender(1001);
const HostId kBorrower(1002);

LeaseTerms Terms() {
  LeaseTerms terms;
  terms.drift_divisor = 10;
  return terms;
}

LimitShard Shard(HostId self, HostId peer, std::uint64_t incarnation = 1) {
  LimitShard shard({self, Incarnation(incarnation), 0, Terms()}, kStart);
  const std::array<Limit, 1> limits{{{kLimit, 1000, 100}}};
  const std::array<PeerHost, 1> peers{{{peer, Incarnation(1), {}, {}}}};
  shard.OnLimits(limits, Revision(1), kStart);
  shard.OnPeers(peers, kStart);
  return shard;
}

/// A lender that holds all units and a borrower with demand. The lender has
/// received the first report of the borrower, and its loan is in transit.
struct LenderAndBorrower {
  LenderAndBorrower()
      : lender(Shard(kLender, kBorrower)), borrower(Shard(kBorrower, kLender)) {
    lender.OnOwnShare({kTotalUnits, kStart + 1h, 0, kStart}, kStart);
    cr_assert(
        borrower.OnPeerMessage(kLender, Tick(lender, kStart), kStart).empty());
    for (int i = 0; i < 50; ++i)
      (void)borrower.TryTake(kLimit, 1, kStart + 90ms);
    const LoanMessage request = Tick(borrower, kStart + 100ms);
    cr_assert(request.reply_requested);
    const auto answers =
        lender.OnPeerMessage(kBorrower, request, kStart + 100ms);
    cr_assert_eq(answers.size(), 1U);
    loan = answers[0].message;
    cr_assert_eq(loan.loans.size(), 1U);
  }

  static LoanMessage Tick(LimitShard& shard, TimePoint now) {
    const auto sent = shard.OnTick(now);
    cr_assert_eq(sent.size(), 1U);
    return sent[0].message;
  }

  [[nodiscard]] std::int64_t Tokens() const {
    return lender.bucket(kLimit)->tokens() + borrower.bucket(kLimit)->tokens();
  }
  [[nodiscard]] Share Shares() const {
    return lender.bucket(kLimit)->share() + borrower.bucket(kLimit)->share();
  }

  LimitShard lender;
  LimitShard borrower;
  LoanMessage loan;
};

int TakeAll(LimitShard& shard, TimePoint now) {
  int taken = 0;
  while (shard.TryTake(kLimit, 1, now).admitted)
    ++taken;
  return taken;
}

}  // namespace

Test(limit_shard, a_lender_deducts_the_share_before_it_sends_the_loan) {
  LenderAndBorrower pair;
  const Loan& loan = pair.loan.loans[0];
  cr_expect(loan.share.rate > kTotalUnits / 2);
  cr_expect(loan.tokens > 0);
  cr_expect(pair.lender.bucket(kLimit)->share() + loan.share ==
            (Share{kTotalUnits, kTotalUnits}));
  cr_expect(pair.lender.bucket(kLimit)->tokens() + loan.tokens <=
            pair.lender.bucket(kLimit)->BurstTokens(kTotalUnits));
}

Test(limit_shard, a_lost_loan_returns_without_tokens_after_it_expires) {
  LenderAndBorrower pair;
  const Share lent = pair.lender.lent(kLimit);
  (void)TakeAll(pair.lender, kStart + 100ms);
  const TimePoint bound =
      LatestExpiry(Terms(), kStart + 100ms, Terms().loan_lifetime);
  (void)pair.lender.OnTick(bound);
  cr_expect(pair.lender.lent(kLimit) == lent);
  (void)TakeAll(pair.lender, bound + 250ms);
  (void)pair.lender.OnTick(bound + 250ms);
  cr_expect(pair.lender.lent(kLimit) == Share{});
  cr_expect(pair.lender.bucket(kLimit)->tokens() < kNanoTokensPerToken);
}

Test(limit_shard, a_repeated_loan_adds_its_tokens_once) {
  LenderAndBorrower pair;
  const LoanMessage again =
      LenderAndBorrower::Tick(pair.lender, kStart + 360ms);
  cr_assert_eq(again.loans.size(), 1U);
  cr_assert_eq(again.loans[0].version, pair.loan.loans[0].version);
  const auto acks =
      pair.borrower.OnPeerMessage(kLender, pair.loan, kStart + 110ms);
  cr_assert_eq(acks.size(), 1U);
  (void)TakeAll(pair.borrower, kStart + 110ms);
  const std::int64_t left = pair.borrower.bucket(kLimit)->tokens();
  for (const LoanMessage& message : {pair.loan, again, again})
    (void)pair.borrower.OnPeerMessage(kLender, message, kStart + 110ms);
  cr_expect_eq(pair.borrower.bucket(kLimit)->tokens(), left);
}

Test(limit_shard, a_loan_expires_on_use_counted_from_the_echoed_stamp) {
  for (const bool late : {false, true}) {
    LenderAndBorrower pair;
    (void)pair.borrower.OnPeerMessage(kLender, pair.loan, kStart + 110ms);
    cr_assert(pair.borrower.bucket(kLimit)->share().rate > 0);
    const TimePoint expiry = kStart + 100ms + pair.loan.loan_lifetime;
    cr_expect_eq(TakeAll(pair.borrower, expiry - (late ? 0ns : 1ns)) == 0,
                 late);
  }
}

/// The worst case: the slowest clock allowed at the borrower, the fastest at
/// the lender, and no network latency.
Test(limit_shard, clock_drift_never_lets_two_hosts_hold_the_same_share) {
  LenderAndBorrower pair;
  const TimePoint shared = kStart + 100ms;
  (void)pair.borrower.OnPeerMessage(kLender, pair.loan, shared);
  bool returned = false;
  for (Duration passed = 0ms; passed < 1500ms; passed += 5ms) {
    LimitShard lender = pair.lender;
    (void)lender.OnTick(shared + passed);
    (void)pair.borrower.TryTake(kLimit, 1, shared + passed - passed / 10);
    const Share held =
        lender.bucket(kLimit)->share() + pair.borrower.bucket(kLimit)->share();
    cr_assert(held.rate <= kTotalUnits && held.burst <= kTotalUnits);
    returned = lender.bucket(kLimit)->share().rate == kTotalUnits;
  }
  cr_expect(returned);
}

Test(limit_shard, an_ack_returns_unspent_tokens_once) {
  LenderAndBorrower pair;
  const auto ack =
      pair.borrower.OnPeerMessage(kLender, pair.loan, kStart + 110ms);
  (void)pair.lender.OnPeerMessage(kBorrower, ack[0].message, kStart + 120ms);
  const auto leave = pair.borrower.Stop(kStart + 130ms);
  (void)pair.lender.OnPeerMessage(kBorrower, leave[0].message, kStart + 140ms);
  const LoanMessage recall =
      LenderAndBorrower::Tick(pair.lender, kStart + 400ms);
  cr_assert(recall.loans.size() == 1 && recall.loans[0].share == Share{});
  const auto back =
      pair.borrower.OnPeerMessage(kLender, recall, kStart + 410ms);
  cr_assert_eq(back.size(), 1U);
  cr_expect(pair.borrower.bucket(kLimit)->share() == Share{});
  (void)TakeAll(pair.lender, kStart + 420ms);
  const std::int64_t before = pair.lender.bucket(kLimit)->tokens();
  (void)pair.lender.OnPeerMessage(kBorrower, back[0].message, kStart + 420ms);
  const std::int64_t after = pair.lender.bucket(kLimit)->tokens();
  cr_expect_eq(after - before, back[0].message.acks[0].tokens);
  (void)pair.lender.OnPeerMessage(kBorrower, back[0].message, kStart + 420ms);
  cr_expect_eq(pair.lender.bucket(kLimit)->tokens(), after);
  cr_expect(pair.lender.lent(kLimit) == Share{});
}

Test(limit_shard, a_new_incarnation_of_the_lender_ends_its_loans) {
  LenderAndBorrower pair;
  (void)pair.borrower.OnPeerMessage(kLender, pair.loan, kStart + 110ms);
  LimitShard next = Shard(kLender, kBorrower, 2);
  (void)pair.borrower.OnPeerMessage(
      kLender, LenderAndBorrower::Tick(next, kStart + 120ms), kStart + 120ms);
  cr_expect_eq(TakeAll(pair.borrower, kStart + 120ms), 0);
}

Test(limit_shard, a_withdrawn_own_share_is_not_lent) {
  LenderAndBorrower pair;
  (void)pair.borrower.OnPeerMessage(kLender, pair.loan, kStart + 110ms);
  pair.lender.OnOwnShare({}, kStart + 120ms);
  cr_expect_eq(TakeAll(pair.lender, kStart + 120ms), 0);
  const LoanMessage message =
      LenderAndBorrower::Tick(pair.lender, kStart + 360ms);
  for (const Loan& loan : message.loans)
    cr_expect(loan.share == Share{});
}

Test(limit_shard, a_lowered_own_share_shrinks_the_loans) {
  LenderAndBorrower pair;
  const std::int64_t lowered = kTotalUnits / 4;
  pair.lender.OnOwnShare({lowered, kStart + 1h, 0, kStart}, kStart + 120ms);
  (void)pair.lender.OnPeerMessage(
      kBorrower, LenderAndBorrower::Tick(pair.borrower, kStart + 350ms),
      kStart + 350ms);
  const LoanMessage message =
      LenderAndBorrower::Tick(pair.lender, kStart + 360ms);
  cr_assert_eq(message.loans.size(), 1U);
  cr_expect(message.loans[0].share.rate <= lowered);
  cr_expect(message.loans[0].share.burst <= lowered);
  cr_expect_eq(TakeAll(pair.lender, kStart + 360ms), 0);
}

Test(limit_shard, an_older_revision_is_ignored) {
  LimitShard shard = Shard(kLender, kBorrower);
  shard.OnOwnShare({kTotalUnits, kStart + 1h, 0, kStart}, kStart);
  const std::array<Limit, 1> lowered{{{kLimit, 10, 1}}};
  const std::array<Limit, 1> old{{{kLimit, 1000, 100}}};
  shard.OnLimits(lowered, Revision(3), kStart);
  shard.OnLimits(old, Revision(2), kStart);
  cr_expect_eq(TakeAll(shard, kStart + 10s), 1);
  shard.OnLimits({}, Revision(4), kStart + 10s);
  cr_expect_eq(TakeAll(shard, kStart + 20s), 0);
}
