/// @file
/// How a call to the platform ended.
#ifndef COMFREYVANE_STORAGE_TABLE_STATUS_H_
#define COMFREYVANE_STORAGE_TABLE_STATUS_H_

namespace comfreyvane {

/// How a call to the table service or the object store ended.
enum class TableStatus {
  kDone,         ///< It took effect, now or at an earlier try.
  kConflict,     ///< A condition did not hold; nothing was written.
  kUnavailable,  ///< The service was not reached; nothing was written.
  kUnknown,      ///< No answer came; it may have taken effect. Repeat it.
  kMalformed,    ///< The service refused the call or sent an unreadable answer.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_TABLE_STATUS_H_
