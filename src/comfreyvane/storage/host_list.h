/// @file
/// What the system needs of the platform's host list.
#ifndef COMFREYVANE_STORAGE_HOST_LIST_H_
#define COMFREYVANE_STORAGE_HOST_LIST_H_

#include <concepts>
#include <functional>
#include <vector>

#include "comfreyvane/storage/host_listing.h"
#include "comfreyvane/storage/table_status.h"

namespace comfreyvane {

/// The platform's list of hosts, which lags behind the truth.
template <typename T>
concept HostList = requires(
    T& list,
    std::function<void(TableStatus, std::vector<HostListing>)> on_hosts) {
  { list.ReadHosts(on_hosts) } -> std::same_as<void>;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_HOST_LIST_H_
