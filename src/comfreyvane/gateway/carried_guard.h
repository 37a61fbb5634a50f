/// @file
/// Admission of carried requests, each once.
#ifndef COMFREYVANE_GATEWAY_CARRIED_GUARD_H_
#define COMFREYVANE_GATEWAY_CARRIED_GUARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "comfreyvane/edge/sequence_window.h"
#include "comfreyvane/gateway/carried_mark.h"

namespace comfreyvane {

/// Whether a carried request may run here.
enum class CarriedAdmission {
  kAccepted,
  kOtherRun,  ///< Sent to or by another run of a host; has not run.
  kRepeated,  ///< Received before; may have run.
};

/// Admits each carried request once, and only those for this run of this host
/// by the current run of their origin.
class CarriedGuard {
 public:
  CarriedGuard(std::string self, std::uint64_t incarnation)
      : self_(std::move(self)), incarnation_(incarnation) {}

  /// @param origin_incarnation run of the origin by its last heartbeat; nothing
  ///     if none has been received.
  [[nodiscard]] CarriedAdmission Accept(
      const CarriedMark& mark,
      std::optional<std::uint64_t> origin_incarnation) {
    if (mark.carrier != self_ || mark.carrier_incarnation != incarnation_ ||
        mark.origin_incarnation != origin_incarnation)
      return CarriedAdmission::kOtherRun;
    Origin& origin = origins_[mark.origin];
    if (origin.incarnation != mark.origin_incarnation)
      origin = {mark.origin_incarnation, SequenceWindow()};
    return origin.window.Accept(mark.sequence) ? CarriedAdmission::kAccepted
                                               : CarriedAdmission::kRepeated;
  }

 private:
  struct Origin {
    std::uint64_t incarnation = 0;
    SequenceWindow window;
  };

  std::string self_;
  std::uint64_t incarnation_;
  std::map<std::string, Origin> origins_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_CARRIED_GUARD_H_
