/// @file
/// Traffic of client positions.
#ifndef COMFREYVANE_STEER_POSITION_WEIGHTS_H_
#define COMFREYVANE_STEER_POSITION_WEIGHTS_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/client_position.h"

namespace comfreyvane {

/// Counts the requests of each client position in consecutive windows, as a few
/// clients may send most of a service's traffic. Allocates memory at the first
/// request.
class PositionWeights {
 public:
  /// @param window duration of a window.
  explicit PositionWeights(Duration window) : window_(window) {}

  /// Counts requests of a position.
  void Record(ClientPosition position, std::uint32_t requests, TimePoint now);

  /// Starts a new window if the current one has ended.
  void Advance(TimePoint now);

  /// @return requests of the position in the last complete window.
  [[nodiscard]] std::uint32_t weight(ClientPosition position) const {
    return previous_.empty() ? 0 : previous_[position];
  }

  /// @return requests of all positions in the last complete window.
  [[nodiscard]] std::uint64_t total() const { return total_; }

 private:
  Duration window_;
  TimePoint window_start_{};
  std::vector<std::uint32_t> current_;
  std::vector<std::uint32_t> previous_;
  std::uint64_t total_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_POSITION_WEIGHTS_H_
