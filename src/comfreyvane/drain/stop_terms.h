/// @file
/// When a request is expected to end.
#ifndef COMFREYVANE_DRAIN_STOP_TERMS_H_
#define COMFREYVANE_DRAIN_STOP_TERMS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Times of a request that decide whether it can end before its host does.
struct StopTerms {
  TimePoint received;      ///< When all of it had been read.
  TimePoint expected_end;  ///< Of its answer, with the wait before it.
  TimePoint deadline;      ///< By which it has ended in any case.

  friend bool operator==(const StopTerms&, const StopTerms&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_STOP_TERMS_H_
