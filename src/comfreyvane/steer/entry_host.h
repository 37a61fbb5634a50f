/// @file
/// An entry host in an answer.
#ifndef COMFREYVANE_STEER_ENTRY_HOST_H_
#define COMFREYVANE_STEER_ENTRY_HOST_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"

namespace comfreyvane {

/// An entry host that a caller may use.
struct EntryHost {
  HostId id{};
  Incarnation incarnation{};
  std::string address{};
  std::uint16_t port = 0;

  friend bool operator==(const EntryHost&, const EntryHost&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_ENTRY_HOST_H_
