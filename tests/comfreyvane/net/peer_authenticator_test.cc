#include "comfreyvane/net/peer_authenticator.h"

#include <string>

#include "support/criterion.h"

using comfreyvane::PeerAuthenticator;

Test(peer_authenticator, takes_only_what_was_signed_under_the_secret) {
  const PeerAuthenticator ours("the secret of the fleet");
  const PeerAuthenticator stranger("another secret of a fleet");
  const std::string code = ours.Sign("stamp", "body");
  cr_expect(ours.Verify("stamp", "body", code));
  cr_expect(!ours.Verify("stamp", "bodY", code));
  cr_expect(!ours.Verify("stamP", "body", code));
  cr_expect(!ours.Verify("stam", "pbody", code));
  cr_expect(!ours.Verify("stamp", "body", ""));
  cr_expect(!ours.Verify("stamp", "body", stranger.Sign("stamp", "body")));
}
