/// @file
/// Errors in building a look-up table.
#ifndef COMFREYVANE_STEER_LOOKUP_ERROR_H_
#define COMFREYVANE_STEER_LOOKUP_ERROR_H_

namespace comfreyvane {

/// Reason why a look-up table cannot be built. Passed as a Boost.LEAF error
/// object.
enum class LookupError {
  kConflictingBlock,  ///< One block is assigned to two sites.
  kUnknownSite,       ///< A block names a site without a state.
  kDuplicateSite,     ///< A site has two states.
  kTooManySites,      ///< There are more than kMaxLookupSites sites.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_LOOKUP_ERROR_H_
