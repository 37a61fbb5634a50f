#include "comfreyvane/wire/limit_codec.h"

#include <limits>
#include <memory>
#include <type_traits>
#include <utility>

#include <boost/leaf/error.hpp>

namespace comfreyvane {
namespace {

namespace leaf = boost::leaf;

/// One overload of Put for each kind of member.
struct Writer {
  template <typename Integer>
  requires std::is_integral_v<Integer>
  static Json::Value Put(Integer value) {
    if constexpr (std::is_same_v<Integer, bool>)
      return Json::Value(value);
    else if constexpr (std::is_signed_v<Integer>)
      return Json::Value(static_cast<Json::Int64>(value));
    else
      return Json::Value(static_cast<Json::UInt64>(value));
  }

  template <typename Tag>
  static Json::Value Put(const BasicId<Tag>& id) {
    return Put(id.value());
  }

  static Json::Value Put(const Incarnation& incarnation) {
    return Put(incarnation.value());
  }

  static Json::Value Put(Duration duration) { return Put(duration.count()); }

  static Json::Value Put(TimePoint time) {
    return Put(time.time_since_epoch());
  }

  template <typename... Members>
  static Json::Value Record(const Members&... members) {
    Json::Value record(Json::arrayValue);
    (record.append(Put(members)), ...);
    return record;
  }

  static Json::Value Put(const Share& share) {
    return Record(share.rate, share.burst);
  }

  static Json::Value Put(const HostIncarnation& guardian) {
    return Record(guardian.host, guardian.incarnation);
  }

  static Json::Value Put(const MessageStamp& stamp) {
    return Record(stamp.incarnation, stamp.sequence, stamp.sent_at);
  }

  static Json::Value Put(const std::optional<MessageStamp>& stamp) {
    return stamp ? Put(*stamp) : Json::Value();
  }

  static Json::Value Put(const DemandReport& report) {
    return Record(report.limit, report.demand, report.fill);
  }

  static Json::Value Put(const Loan& loan) {
    return Record(loan.limit, loan.version, loan.share, loan.tokens);
  }

  static Json::Value Put(const LoanAck& ack) {
    return Record(ack.limit, ack.version, ack.tokens);
  }

  static Json::Value Put(const RenewalRequest& ask) {
    return Record(ask.grant, ask.successor, ask.voter, ask.dynamic,
                  ask.remaining);
  }

  static Json::Value Put(const GrantRenewal& renewal) {
    return Record(renewal.grant, renewal.dynamic, renewal.fenced,
                  renewal.lifetime);
  }

  static Json::Value Put(const VoteRequest& request) {
    return Record(request.grant);
  }

  static Json::Value Put(const Vote& vote) {
    return Record(vote.grant, vote.dynamic);
  }

  static Json::Value Put(const GrantRelease& release) {
    return Record(release.grant, release.base, release.dynamic,
                  release.remaining, release.hold_off);
  }

  static Json::Value Put(const ReleaseAck& ack) { return Record(ack.grant); }

  static Json::Value Put(const ShareGrant& grant) {
    return Record(grant.id, grant.holder, grant.incarnation, grant.base,
                  grant.dynamic, grant.generation);
  }

  template <typename Element>
  static Json::Value Put(const std::vector<Element>& elements) {
    Json::Value list(Json::arrayValue);
    for (const Element& element : elements)
      list.append(Put(element));
    return list;
  }
};

/// One overload of Take for each kind of member.
struct Reader {
  static leaf::result<void> Take(const Json::Value& json, bool& value) {
    if (!json.isBool())
      return leaf::new_error(LimitWireError::kWrongType);
    value = json.asBool();
    return {};
  }

  template <typename Integer>
  requires std::is_integral_v<Integer>
  static leaf::result<void> Take(const Json::Value& json, Integer& value) {
    if (!json.isIntegral())
      return leaf::new_error(LimitWireError::kWrongType);
    if constexpr (std::is_signed_v<Integer>) {
      if (!json.isInt64())
        return leaf::new_error(LimitWireError::kOutOfRange);
      value = json.asInt64();
    } else {
      if (!json.isUInt64() ||
          json.asUInt64() > std::numeric_limits<Integer>::max())
        return leaf::new_error(LimitWireError::kOutOfRange);
      value = static_cast<Integer>(json.asUInt64());
    }
    return {};
  }

  template <typename Wrapper>
  static leaf::result<void> TakeWrapped(const Json::Value& json,
                                        Wrapper& wrapper) {
    std::uint64_t value = 0;
    if (auto taken = Take(json, value); !taken)
      return taken.error();
    wrapper = Wrapper(value);
    return {};
  }

  template <typename Tag>
  static leaf::result<void> Take(const Json::Value& json, BasicId<Tag>& id) {
    return TakeWrapped(json, id);
  }

  static leaf::result<void> Take(const Json::Value& json,
                                 Incarnation& incarnation) {
    return TakeWrapped(json, incarnation);
  }

  static leaf::result<void> Take(const Json::Value& json, Duration& duration) {
    std::int64_t count = 0;
    if (auto taken = Take(json, count); !taken)
      return taken.error();
    duration = Duration(count);
    return {};
  }

  static leaf::result<void> Take(const Json::Value& json, TimePoint& time) {
    Duration since_epoch{0};
    if (auto taken = Take(json, since_epoch); !taken)
      return taken.error();
    time = TimePoint(since_epoch);
    return {};
  }

  /// Amounts are never negative.
  static leaf::result<void> TakeAmount(const Json::Value& json,
                                       std::int64_t& amount) {
    if (auto taken = Take(json, amount); !taken)
      return taken.error();
    if (amount < 0)
      return leaf::new_error(LimitWireError::kOutOfRange);
    return {};
  }

  static leaf::result<void> CheckRecord(const Json::Value& json,
                                        Json::ArrayIndex size) {
    if (!json.isArray())
      return leaf::new_error(LimitWireError::kNotArray);
    if (json.size() != size)
      return leaf::new_error(LimitWireError::kWrongLength);
    return {};
  }

  template <typename... Members>
  static leaf::result<void> TakeRecord(const Json::Value& json,
                                       Members&... members) {
    if (auto taken = CheckRecord(json, sizeof...(Members)); !taken)
      return taken.error();
    leaf::result<void> taken;
    Json::ArrayIndex index = 0;
    const auto take = [&](auto& member) {
      if (taken)
        taken = TakeMember(json[index++], member);
    };
    (take(members), ...);
    return taken;
  }

  static leaf::result<void> Take(const Json::Value& json, Share& share) {
    return TakeRecord(json, share.rate, share.burst);
  }

  static leaf::result<void> Take(const Json::Value& json,
                                 HostIncarnation& guardian) {
    return TakeRecord(json, guardian.host, guardian.incarnation);
  }

  static leaf::result<void> Take(const Json::Value& json, MessageStamp& stamp) {
    return TakeRecord(json, stamp.incarnation, stamp.sequence, stamp.sent_at);
  }

  static leaf::result<void> Take(const Json::Value& json,
                                 std::optional<MessageStamp>& stamp) {
    if (json.isNull()) {
      stamp.reset();
      return {};
    }
    return Take(json, stamp.emplace());
  }

  static leaf::result<void> Take(const Json::Value& json,
                                 DemandReport& report) {
    return TakeRecord(json, report.limit, report.demand, report.fill);
  }

  static leaf::result<void> Take(const Json::Value& json, Loan& loan) {
    return TakeRecord(json, loan.limit, loan.version, loan.share, loan.tokens);
  }

  static leaf::result<void> Take(const Json::Value& json, LoanAck& ack) {
    return TakeRecord(json, ack.limit, ack.version, ack.tokens);
  }

  static leaf::result<void> Take(const Json::Value& json, RenewalRequest& ask) {
    return TakeRecord(json, ask.grant, ask.successor, ask.voter, ask.dynamic,
                      ask.remaining);
  }

  static leaf::result<void> Take(const Json::Value& json,
                                 GrantRenewal& renewal) {
    return TakeRecord(json, renewal.grant, renewal.dynamic, renewal.fenced,
                      renewal.lifetime);
  }

  static leaf::result<void> Take(const Json::Value& json,
                                 VoteRequest& request) {
    return TakeRecord(json, request.grant);
  }

  static leaf::result<void> Take(const Json::Value& json, Vote& vote) {
    return TakeRecord(json, vote.grant, vote.dynamic);
  }

  static leaf::result<void> Take(const Json::Value& json,
                                 GrantRelease& release) {
    return TakeRecord(json, release.grant, release.base, release.dynamic,
                      release.remaining, release.hold_off);
  }

  static leaf::result<void> Take(const Json::Value& json, ReleaseAck& ack) {
    return TakeRecord(json, ack.grant);
  }

  static leaf::result<void> Take(const Json::Value& json, ShareGrant& grant) {
    return TakeRecord(json, grant.id, grant.holder, grant.incarnation,
                      grant.base, grant.dynamic, grant.generation);
  }

  template <typename Element>
  static leaf::result<void> Take(const Json::Value& json,
                                 std::vector<Element>& elements) {
    if (!json.isArray())
      return leaf::new_error(LimitWireError::kNotArray);
    for (const Json::Value& element : json)
      if (auto taken = Take(element, elements.emplace_back()); !taken)
        return taken.error();
    return {};
  }

  template <typename Member>
  static leaf::result<void> TakeMember(const Json::Value& json,
                                       Member& member) {
    if constexpr (std::is_same_v<Member, std::int64_t>)
      return TakeAmount(json, member);
    else
      return Take(json, member);
  }
};

}  // namespace

Json::Value ToJson(const LoanMessage& message) {
  return Writer::Record(message.stamp, message.echo, message.shard,
                        message.reply_requested, message.is_leaving,
                        message.own_units, message.loan_lifetime,
                        message.reports, message.loans, message.acks);
}

Json::Value ToJson(const GrantMessage& message) {
  return Writer::Record(message.stamp, message.echo, message.probe,
                        message.probe_reply, message.has_new_grant,
                        message.renewal_requests, message.renewals,
                        message.vote_requests, message.votes, message.releases,
                        message.release_acks);
}

Json::Value ToJson(const ShareTable& table) {
  return Writer::Put(table.grants);
}

leaf::result<LoanMessage> LoanMessageFromJson(const Json::Value& json) {
  LoanMessage message;
  if (auto taken = Reader::TakeRecord(
          json, message.stamp, message.echo, message.shard,
          message.reply_requested, message.is_leaving, message.own_units,
          message.loan_lifetime, message.reports, message.loans, message.acks);
      !taken)
    return taken.error();
  return message;
}

leaf::result<GrantMessage> GrantMessageFromJson(const Json::Value& json) {
  GrantMessage message;
  if (auto taken = Reader::TakeRecord(
          json, message.stamp, message.echo, message.probe, message.probe_reply,
          message.has_new_grant, message.renewal_requests, message.renewals,
          message.vote_requests, message.votes, message.releases,
          message.release_acks);
      !taken)
    return taken.error();
  return message;
}

leaf::result<ShareTable> ShareTableFromJson(const Json::Value& json) {
  ShareTable table;
  if (auto taken = Reader::Take(json, table.grants); !taken)
    return taken.error();
  return table;
}

TableTransaction ToTransaction(const CommitShares& commit,
                               const std::string& key) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return {commit.transaction_id,
          {{key, commit.condition}},
          {{key, Json::writeString(builder, ToJson(commit.table))}}};
}

SharesOutcome ToSharesOutcome(const TableOutcome& outcome) {
  return {outcome.transaction_id, outcome.status, outcome.revision};
}

leaf::result<SharesReading> ToSharesReading(const TableReading& reading,
                                            const std::string& key) {
  SharesReading shares{reading.status, {}, {}};
  for (const TableRow& row : reading.rows) {
    if (row.key != key || row.revision == Revision())
      continue;
    Json::Value json;
    const std::unique_ptr<Json::CharReader> reader(
        Json::CharReaderBuilder().newCharReader());
    const char* const begin = row.value.data();
    if (!reader->parse(begin, begin + row.value.size(), &json, nullptr))
      return leaf::new_error(LimitWireError::kNotJson);
    BOOST_LEAF_ASSIGN(shares.table, ShareTableFromJson(json));
    shares.revision = row.revision;
  }
  return shares;
}

}  // namespace comfreyvane
