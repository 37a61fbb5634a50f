#include "comfreyvane/wire/member_codec.h"

#include "comfreyvane/wire/json_archive.h"

namespace comfreyvane {

namespace wire {

template <>
struct EnumRange<MemberState> {
  static constexpr auto kLast = MemberState::kDead;
};

template <>
struct Fields<HostDescriptor> {
  static void List(auto& archive, auto& object) {
    archive("name", object.name);
    archive("failure_domain", object.failure_domain);
    archive("address", object.address);
    archive("caller_port", object.caller_port);
    archive("peer_port", object.peer_port);
  }
};

template <>
struct Fields<MemberRumour> {
  static void List(auto& archive, auto& object) {
    archive("descriptor", object.descriptor);
    archive("incarnation", object.incarnation);
    archive("version", object.version);
    archive("state", object.state);
  }
};

template <>
struct Fields<DomainRumour> {
  static void List(auto& archive, auto& object) {
    archive("domain", object.domain);
    archive("version", object.version);
    archive("reachable", object.reachable);
  }
};

template <>
struct Fields<DomainDigest> {
  static void List(auto& archive, auto& object) {
    archive("domain", object.domain);
    archive("digest", object.digest);
  }
};

template <>
struct Fields<Heartbeat> {
  static void List(auto& archive, auto& object) {
    archive("incarnation", object.incarnation);
    archive("version", object.version);
    archive("state", object.state);
    archive("digest", object.digest);
    archive("reply_wanted", object.reply_wanted);
    archive("rumours", object.rumours);
    archive("domain_rumours", object.domain_rumours);
  }
};

template <>
struct Fields<ProbeRequest> {
  static void List(auto& archive, auto& object) {
    archive("incarnation", object.incarnation);
    archive("suspect", object.suspect);
  }
};

template <>
struct Fields<SyncRequest> {
  static void List(auto& archive, auto& object) {
    archive("incarnation", object.incarnation);
    archive("digests", object.digests);
  }
};

template <>
struct Fields<SyncReply> {
  static void List(auto& archive, auto& object) {
    archive("incarnation", object.incarnation);
    archive("members", object.members);
  }
};

template <>
struct Alternative<Heartbeat> {
  static constexpr char kName[] = "heartbeat";
};

template <>
struct Alternative<ProbeRequest> {
  static constexpr char kName[] = "probe";
};

template <>
struct Alternative<SyncRequest> {
  static constexpr char kName[] = "sync-request";
};

template <>
struct Alternative<SyncReply> {
  static constexpr char kName[] = "sync-reply";
};

}  // namespace wire

Json::Value ToJson(const MemberMessage& message) {
  return wire::JsonWriter::Write(message);
}

boost::leaf::result<MemberMessage> MemberMessageFromJson(
    const Json::Value& json) {
  return wire::ReadJson<MemberMessage>(json);
}

}  // namespace comfreyvane
