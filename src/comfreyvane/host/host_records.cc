#include "comfreyvane/host/host_records.h"

#include <boost/leaf/handle_errors.hpp>

#include "comfreyvane/once/ticket_text.h"

namespace comfreyvane {
namespace {

constexpr std::uint64_t kShards = 16;
constexpr std::size_t kRecordsPerShard = 16384;

}  // namespace

HostRecords::Shard::Shard(const TicketTerms& terms,
                          const TicketHmac& signer,
                          std::uint64_t index)
    : issuer(terms, signer, index, kShards), ledger(terms, kRecordsPerShard) {}

HostRecords::HostRecords(const TicketTerms& terms) {
  const TicketHmac signer;
  for (std::uint64_t i = 0; i < kShards; ++i)
    shards_.push_back(std::make_unique<Shard>(terms, signer, i));
}

std::string HostRecords::IssueTicket(TimePoint now) {
  Shard& shard = ShardOf(next_shard_.fetch_add(1, std::memory_order_relaxed));
  const std::lock_guard lock(shard.mutex);
  return ToText(shard.issuer.Issue(now));
}

std::variant<HostRecords::Begun, Refusal>
HostRecords::Begin(std::string_view ticket, RequestId request, TimePoint now) {
  using Result = std::variant<Begun, Refusal>;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Result> {
        BOOST_LEAF_AUTO(parsed, ParseTicket(ticket));
        Shard& shard = ShardOf(parsed.serial);
        const std::lock_guard lock(shard.mutex);
        BOOST_LEAF_AUTO(verified, shard.issuer.Verify(parsed));
        return Result(
            Begun{verified, shard.ledger.Begin(verified, request, now)});
      },
      [](const Refusal& refusal) { return Result(refusal); },
      [] {
        return Result(
            Refusal{RefusalReason::kInternal, RunState::kUnknown, {}});
      });
}

bool HostRecords::MarkDispatched(const VerifiedTicket& ticket, TimePoint now) {
  Shard& shard = ShardOf(ticket.serial());
  const std::lock_guard lock(shard.mutex);
  return shard.ledger.MarkDispatched(ticket, now);
}

void HostRecords::OnAttemptNotRun(const VerifiedTicket& ticket) {
  Shard& shard = ShardOf(ticket.serial());
  const std::lock_guard lock(shard.mutex);
  shard.ledger.OnAttemptNotRun(ticket);
}

void HostRecords::Finish(const VerifiedTicket& ticket,
                         RunOutcome end,
                         TimePoint now) {
  Shard& shard = ShardOf(ticket.serial());
  const std::lock_guard lock(shard.mutex);
  shard.ledger.Finish(ticket, end, now);
}

RunState HostRecords::RunStateOf(const VerifiedTicket& ticket, TimePoint now) {
  Shard& shard = ShardOf(ticket.serial());
  const std::lock_guard lock(shard.mutex);
  return shard.ledger.RunStateOf(ticket, now);
}

RunState HostRecords::RunStateOf(std::string_view ticket, TimePoint now) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<RunState> {
        BOOST_LEAF_AUTO(parsed, ParseTicket(ticket));
        Shard& shard = ShardOf(parsed.serial);
        const std::lock_guard lock(shard.mutex);
        BOOST_LEAF_AUTO(verified, shard.issuer.Verify(parsed));
        return shard.ledger.RunStateOf(verified, now);
      },
      [] { return RunState::kUnknown; });
}

void HostRecords::Expire(TimePoint now) {
  for (const auto& shard : shards_) {
    const std::lock_guard lock(shard->mutex);
    shard->ledger.Expire(now);
  }
}

std::size_t HostRecords::size() {
  std::size_t total = 0;
  for (const auto& shard : shards_) {
    const std::lock_guard lock(shard->mutex);
    total += shard->ledger.size();
  }
  return total;
}

}  // namespace comfreyvane
