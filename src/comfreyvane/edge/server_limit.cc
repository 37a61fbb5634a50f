#include "comfreyvane/edge/server_limit.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Tokens of a sender at most.
constexpr double kCapacity = 1.0;

/// Senders of a limit of zero and for each request per second beyond it. With
/// one token each they send less than half of a four-second window at once.
constexpr std::size_t kMinSenders = 2;
constexpr double kSendersPerRate = 2.0;

/// Time of silence after which the next host in the order sends a request, as
/// a number of intervals of the limit, and its bounds.
constexpr double kProbeIntervals = 16.0;
constexpr Duration kMinProbeDelay = std::chrono::seconds(10);
constexpr Duration kMaxProbeDelay = std::chrono::seconds(60);

/// Time for which a change is told, several intervals of messages to peers.
constexpr Duration kNewsLifetime = std::chrono::seconds(2);
/// Maximum time for which a report is under way.
constexpr Duration kMaxTransit = std::chrono::seconds(1);
constexpr Duration kExpiryReportLifetime = std::chrono::seconds(10);

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

Duration ProbeDelay(double rate) {
  const double max_seconds = Seconds(kMaxProbeDelay);
  if (rate * max_seconds <= kProbeIntervals)
    return kMaxProbeDelay;
  return std::max(kMinProbeDelay, FromSeconds(kProbeIntervals / rate));
}

}  // namespace

LimitChange ServerLimit::OnAnswer(const NamedLimit& named,
                                  TimePoint sent_at,
                                  TimePoint now) {
  if (named.state == NamedLimit::State::kUnreadable)
    return {};
  const bool is_absent = named.state == NamedLimit::State::kAbsent;
  if (is_absent && (!is_named_ || sent_at <= heard_at_))
    return {};
  Refill(now);
  const LimitChange change =
      Set(is_absent ? std::nullopt : std::optional(named.rate), now);
  if (change.kind != LimitChange::Kind::kNone)
    news_at_ = now;
  return change;
}

LimitChange ServerLimit::OnReport(const LimitReport& report, TimePoint now) {
  const TimePoint heard_at = now - report.age;
  // An end that another host reports is no news any more.
  if (!report.rate && !is_named_)
    news_at_ = TimePoint{};
  // A report seems younger by the time that it was under way, so hosts that
  // report to each other what they know would never take a server for silent.
  const bool is_known = is_named_ && report.rate == rate_;
  if (heard_at <= heard_at_ + (is_known ? kMaxTransit : Duration::zero()))
    return {};
  Refill(now);
  return Set(report.rate, heard_at);
}

LimitChange ServerLimit::Set(std::optional<double> rate, TimePoint heard_at) {
  LimitChange change{.before = rate_, .rate = rate.value_or(0.0)};
  if (rate && !is_named_) {
    change.kind = LimitChange::Kind::kLearned;
    tokens_ = 0.0;
  } else if (!rate && is_named_) {
    change.kind = LimitChange::Kind::kExpired;
  } else if (rate && *rate != rate_) {
    change.kind = LimitChange::Kind::kChanged;
  }
  if (heard_at_ != TimePoint{})
    change.age = heard_at - heard_at_;
  is_named_ = rate.has_value();
  rate_ = change.rate;
  heard_at_ = heard_at;
  if (!IsSender())
    tokens_ = 0.0;
  return change;
}

void ServerLimit::SetRank(const LimitRank& rank, TimePoint now) {
  Refill(now);
  const bool was_sender = IsSender();
  rank_ = rank;
  if (!was_sender || !IsSender())
    tokens_ = 0.0;
}

std::size_t ServerLimit::Senders() const {
  if (rate_ <= 0.0)
    return 0;
  const auto hosts = static_cast<double>(rank_.hosts);
  const double wanted =
      static_cast<double>(kMinSenders) + kSendersPerRate * rate_;
  return static_cast<std::size_t>(std::min(wanted, hosts));
}

bool ServerLimit::IsSender() const {
  return rank_.rank < Senders();
}

double ServerLimit::own_rate() const {
  return IsSender() ? rate_ / static_cast<double>(Senders()) : 0.0;
}

bool ServerLimit::CanSend(TimePoint now) const {
  return !is_named_ || TokensAt(now) >= 1.0 || IsProbeDue(now);
}

bool ServerLimit::TrySend(TimePoint now) {
  if (!is_named_)
    return true;
  Refill(now);
  if (tokens_ >= 1.0) {
    tokens_ -= 1.0;
    return true;
  }
  if (!IsProbeDue(now))
    return false;
  probed_at_ = now;
  return true;
}

Duration ServerLimit::TimeUntilSend(TimePoint now) const {
  const double missing = 1.0 - TokensAt(now);
  if (!is_named_ || missing <= 0.0)
    return Duration::zero();
  const double rate = own_rate();
  if (rate * Seconds(kMaxProbeDelay) <= missing)
    return Duration::max();
  return FromSeconds(missing / rate);
}

bool ServerLimit::IsProbeDue(TimePoint now) const {
  // A sender whose tokens take very long asks like the hosts after the senders.
  if (own_rate() * Seconds(kMaxProbeDelay) >= 1.0)
    return false;
  const std::size_t rank = std::min(rank_.rank, rank_.hosts);
  const std::size_t place = IsSender() ? rank : rank - Senders();
  const Duration silence = now - std::max(heard_at_, probed_at_);
  return silence >= ProbeDelay(rate_) * static_cast<Duration::rep>(place + 1);
}

bool ServerLimit::IsReporter(TimePoint now) const {
  const auto is_recent = [now](TimePoint event) {
    return event != TimePoint{} && now - event < kExpiryReportLifetime;
  };
  if (rank_.rank < kReporters)
    return is_named_ || is_recent(heard_at_);
  // The reporters have been told and are silent: they may be gone.
  return !is_named_ && is_recent(news_at_) && !IsNews(now);
}

bool ServerLimit::IsNews(TimePoint now) const {
  return news_at_ != TimePoint{} && now - news_at_ < kNewsLifetime;
}

LimitReport ServerLimit::Report(TimePoint now) const {
  LimitReport report;
  if (is_named_)
    report.rate = rate_;
  report.age = std::max(Duration::zero(), now - heard_at_);
  return report;
}

double ServerLimit::TokensAt(TimePoint now) const {
  if (now <= updated_)
    return tokens_;
  return std::min(kCapacity, tokens_ + own_rate() * Seconds(now - updated_));
}

void ServerLimit::Refill(TimePoint now) {
  tokens_ = TokensAt(now);
  updated_ = std::max(updated_, now);
}

}  // namespace comfreyvane
