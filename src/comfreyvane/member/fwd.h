/// @file
/// Forward declarations of package member.
#ifndef COMFREYVANE_MEMBER_FWD_H_
#define COMFREYVANE_MEMBER_FWD_H_

namespace comfreyvane {

enum class MemberState;
struct HostDescriptor;
struct Member;
struct MemberRumour;
struct DomainRumour;
struct DomainDigest;
struct Heartbeat;
struct ProbeRequest;
struct SyncRequest;
struct SyncReply;
struct SendMemberMessage;
struct MemberChanged;
struct SelfResumed;
struct MemberSettings;
struct PeerGraph;
class MemberView;
class MemberCore;

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_FWD_H_
