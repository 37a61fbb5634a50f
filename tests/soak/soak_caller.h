/// @file
/// Callers of the soak, each on a thread of its own.
#ifndef TESTS_SOAK_SOAK_CALLER_H_
#define TESTS_SOAK_SOAK_CALLER_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "soak/soak_client.h"
#include "soak/soak_fleet.h"

namespace comfreyvane::soak {

/// What came of all requests.
struct RequestEnds {
  std::mutex mutex;
  std::vector<RequestEnd> all;
};

/// Sends requests until it is told to stop, in one of the manners that the
/// platform's pages describe, by its number: on a connection that it keeps
/// until the host closes it; some at once; on new connections to hosts that
/// look-ups name; at random, and now and then without waiting for the answer.
class SoakCaller {
 public:
  SoakCaller(SoakFleet& fleet, std::size_t number);

  void Run(const std::atomic<bool>& stop, RequestEnds& ends);

 private:
  enum class Manner : std::uint8_t { kKeep, kPipeline, kLookUp, kRandom };

  void Connect();
  [[nodiscard]] std::vector<RequestEnd> Send();
  [[nodiscard]] SoakRequest Draw(bool is_read);
  /// Asks some hosts where to connect, if the last answer has expired.
  void LookUp();
  [[nodiscard]] bool Ask(std::size_t host);

  SoakFleet& fleet_;
  std::size_t number_;
  Manner manner_;
  RandomSource random_;
  int sent_ = 0;
  std::unique_ptr<SoakClient> client_;
  std::vector<std::size_t> hosts_;  ///< That the last look-up named.
  TimePoint look_up_at_{};
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_CALLER_H_
