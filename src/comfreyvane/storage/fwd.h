/// @file
/// Forward declarations of package storage.
#ifndef COMFREYVANE_STORAGE_FWD_H_
#define COMFREYVANE_STORAGE_FWD_H_

namespace comfreyvane {

struct TableRow;
struct TableCondition;
struct TableWrite;
struct TableTransaction;
struct TableOutcome;
struct TableReading;
struct TableFeed;
struct HostListing;
struct ObjectReading;
enum class TableStatus;
enum class HostState;

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_FWD_H_
