/// @file
/// Authentication of messages between hosts.
#ifndef COMFREYVANE_NET_PEER_AUTHENTICATOR_H_
#define COMFREYVANE_NET_PEER_AUTHENTICATOR_H_

#include <string>
#include <string_view>

namespace comfreyvane {

/// Computes and checks message authentication codes (HMAC-SHA256, RFC 2104)
/// under the fleet's secret, so that no stranger can speak as a host. Messages
/// are not encrypted.
class PeerAuthenticator {
 public:
  explicit PeerAuthenticator(std::string secret);

  /// @param stamp text of the stamp that the body travels under.
  /// @return the code, in hexadecimal.
  [[nodiscard]] std::string Sign(std::string_view stamp,
                                 std::string_view body) const;

  /// @return whether the code belongs to stamp and body. Takes the same time
  /// wherever a wrong code differs.
  [[nodiscard]] bool Verify(std::string_view stamp,
                            std::string_view body,
                            std::string_view code) const;

 private:
  std::string secret_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_PEER_AUTHENTICATOR_H_
