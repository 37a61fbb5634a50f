/// @file
/// Decides what the silence of a backend server means.
#ifndef COMFREYVANE_EDGE_SERVER_SILENCE_H_
#define COMFREYVANE_EDGE_SERVER_SILENCE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/expected_answer.h"

namespace comfreyvane {

/// What one host has sent to one backend server and has no answer to, and
/// whether that is evidence against the path to the server. A server that works
/// is silent too: a request is overdue only if the server has not answered
/// anything for much longer than the request should have taken, the wait for a
/// slot included. Probes wait for slots like requests. Part of PathMonitor.
class ServerSilence {
 public:
  void OnSent(const ExpectedAnswer& expected, TimePoint now);
  /// Records that the server has answered.
  void OnAnswered(TimePoint now) { silent_since_ = now; }
  /// Forgets what was sent at a time, or the oldest.
  /// @return whether anything had been sent.
  bool OnEnded(std::optional<TimePoint> sent_at);
  /// Sets what is known of the server's load now.
  void SetLoad(const ServerLoad& load) { load_ = load; }

  /// @return how long a probe of a server should wait for its answer: as long
  /// as
  ///     it may wait for a slot, since the answer shows that there is a path.
  [[nodiscard]] static Duration ProbeTimeout(const ServerLoad& load);

  /// @return requests and probes without an answer yet.
  [[nodiscard]] std::size_t running() const { return sent_.size(); }
  [[nodiscard]] bool is_busy() const { return load_.is_busy; }

  /// @return whether the server has not answered for some time, which is a
  ///     reason to probe it.
  /// @param since silence before this time does not count.
  [[nodiscard]] bool IsQuiet(TimePoint since, TimePoint now) const;
  /// @return whether anything that was sent is overdue.
  /// @param since silence before this time does not count.
  [[nodiscard]] bool IsOverdue(TimePoint since, TimePoint now) const;
  /// @return whether what was sent at a time is overdue.
  [[nodiscard]] bool IsOverdue(TimePoint sent_at,
                               TimePoint since,
                               TimePoint now) const;

 private:
  struct Sent {
    TimePoint at{};
    ExpectedAnswer expected;
  };

  [[nodiscard]] bool IsOverdue(const Sent& sent,
                               TimePoint since,
                               TimePoint now) const;

  std::vector<Sent> sent_;  ///< Oldest first.
  TimePoint silent_since_{};
  ServerLoad load_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_SILENCE_H_
