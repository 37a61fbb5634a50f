#include "comfreyvane/edge/server_silence.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Time without an answer after which a server is quiet, and after which a
/// request that takes no time is overdue. Longer than a round trip between
/// regions and a short wait for a slot.
constexpr Duration kServerSilence = std::chrono::milliseconds(250);

/// Multiple of the expected time after which a request is overdue: work varies,
/// and servers slow down.
constexpr double kOverdueFactor = 2.0;

/// Time that the answer to a probe may take at a server that is not busy: a
/// round trip between regions, and a short wait for a slot.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(700);

/// Bounds of the time for which a busy server's queue is waited for. Its length
/// is known only roughly; beyond the upper bound the knowledge is worth less
/// than the silence.
constexpr Duration kMinQueueTime = std::chrono::seconds(2);
constexpr Duration kMaxQueueTime = std::chrono::seconds(4);

/// @return how long the queue of a server is waited for.
Duration QueueTime(const ServerLoad& load) {
  if (!load.is_busy)
    return Duration::zero();
  return std::clamp(Scaled(load.wait, kOverdueFactor), kMinQueueTime,
                    kMaxQueueTime);
}

/// @return the time without any answer of the server after which a request is
///     overdue.
Duration Allowance(Duration work, const ServerLoad& load) {
  return std::max(kServerSilence, Scaled(work, kOverdueFactor)) +
         QueueTime(load);
}

}  // namespace

Duration ServerSilence::ProbeTimeout(const ServerLoad& load) {
  return kProbeTimeout + QueueTime(load);
}

void ServerSilence::OnSent(const ExpectedAnswer& expected, TimePoint now) {
  if (sent_.empty())
    silent_since_ = now;
  sent_.push_back({now, expected});
  load_ = expected.load;
}

bool ServerSilence::OnEnded(std::optional<TimePoint> sent_at) {
  if (sent_.empty())
    return false;
  const auto found =
      sent_at ? std::ranges::find(sent_, *sent_at, &Sent::at) : sent_.begin();
  sent_.erase(found == sent_.end() ? sent_.begin() : found);
  return true;
}

bool ServerSilence::IsQuiet(TimePoint since, TimePoint now) const {
  return !sent_.empty() &&
         now - std::max(silent_since_, since) >= kServerSilence;
}

bool ServerSilence::IsOverdue(TimePoint since, TimePoint now) const {
  return std::ranges::any_of(
      sent_, [&](const Sent& sent) { return IsOverdue(sent, since, now); });
}

bool ServerSilence::IsOverdue(TimePoint sent_at,
                              TimePoint since,
                              TimePoint now) const {
  const auto found = std::ranges::find(sent_, sent_at, &Sent::at);
  return found != sent_.end() && IsOverdue(*found, since, now);
}

bool ServerSilence::IsOverdue(const Sent& sent,
                              TimePoint since,
                              TimePoint now) const {
  const Duration silence = now - std::max({sent.at, silent_since_, since});
  const ServerLoad& before = sent.expected.load;
  const ServerLoad load{before.is_busy || load_.is_busy,
                        std::max(before.wait, load_.wait)};
  return silence >= Allowance(sent.expected.work, load);
}

}  // namespace comfreyvane
