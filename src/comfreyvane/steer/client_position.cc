#include "comfreyvane/steer/client_position.h"

#include "comfreyvane/base/hash.h"
#include "comfreyvane/config/site_share.h"

namespace comfreyvane {

ClientPosition PositionOf(const ClientAddress& client, ServiceId service) {
  const bool v4 = client.family() == AddressFamily::kV4;
  const ClientAddress prefix =
      client.Prefix(v4 ? kPositionBitsV4 : kPositionBitsV6);
  const std::uint64_t family = v4 ? 4 : 6;
  const std::uint64_t hash =
      HashPair(HashPair(prefix.high(), family), service.value());
  return static_cast<ClientPosition>(hash % kWholeShare);
}

}  // namespace comfreyvane
