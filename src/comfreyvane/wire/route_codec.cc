#include "comfreyvane/wire/route_codec.h"

#include <boost/leaf/error.hpp>
#include <charconv>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <string>
#include <string_view>

namespace comfreyvane {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kMostHexDigits = 16;

std::string Hex(std::uint64_t value) {
  std::string text(kMostHexDigits, '0');
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), value, 16);
  text.resize(static_cast<std::size_t>(end.ptr - text.data()));
  return text;
}

/// Reads the members of one object and checks that it has no others.
class Members {
 public:
  [[nodiscard]] static leaf::result<Members> Of(
      const Json::Value& json,
      std::initializer_list<const char*> names) {
    if (!json.isObject())
      return leaf::new_error(RouteWireError::kNotAnObject);
    for (const char* name : names) {
      if (!json.isMember(name))
        return leaf::new_error(RouteWireError::kMemberMissing);
    }
    if (json.size() != names.size())
      return leaf::new_error(RouteWireError::kMemberUnknown);
    return Members(json);
  }

  [[nodiscard]] leaf::result<std::uint64_t> Number(const char* name) const {
    return HexValue((*json_)[name]);
  }

  template <typename Id>
  [[nodiscard]] leaf::result<Id> Identifier(const char* name) const {
    BOOST_LEAF_AUTO(value, Number(name));
    return Id(value);
  }

  [[nodiscard]] leaf::result<std::uint32_t> Count(const char* name) const {
    const Json::Value& value = (*json_)[name];
    if (!value.isUInt())
      return leaf::new_error(RouteWireError::kMemberMalformed);
    return value.asUInt();
  }

  [[nodiscard]] leaf::result<const Json::Value*> List(const char* name) const {
    const Json::Value& value = (*json_)[name];
    if (!value.isArray())
      return leaf::new_error(RouteWireError::kMemberMalformed);
    if (value.size() > kMostRouteEntries)
      return leaf::new_error(RouteWireError::kTooMany);
    return &value;
  }

  [[nodiscard]] static leaf::result<std::uint64_t> HexValue(
      const Json::Value& json) {
    if (!json.isString())
      return leaf::new_error(RouteWireError::kMemberMalformed);
    const std::string text = json.asString();
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, 16);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
    if (!whole || text.size() > kMostHexDigits)
      return leaf::new_error(RouteWireError::kMemberMalformed);
    return value;
  }

 private:
  explicit Members(const Json::Value& json) : json_(&json) {}

  const Json::Value* json_;
};

leaf::result<ServerUse> ServerUseFromJson(const Json::Value& json) {
  BOOST_LEAF_AUTO(members, Members::Of(json, {"server", "in_use"}));
  BOOST_LEAF_AUTO(server, members.Identifier<BackendServerId>("server"));
  BOOST_LEAF_AUTO(in_use, members.Count("in_use"));
  return ServerUse{server, in_use};
}

}  // namespace

Json::Value ToJson(const PeerUse& message) {
  Json::Value json(Json::objectValue);
  json["host"] = Hex(message.host.value());
  json["incarnation"] = Hex(message.incarnation.value());
  json["sequence"] = Hex(message.sequence);
  json["service"] = Hex(message.service.value());
  Json::Value& servers = json["servers"] = Json::Value(Json::arrayValue);
  for (const ServerUse& use : message.servers) {
    Json::Value entry(Json::objectValue);
    entry["server"] = Hex(use.server.value());
    entry["in_use"] = use.in_use;
    servers.append(entry);
  }
  return json;
}

leaf::result<PeerUse> PeerUseFromJson(const Json::Value& json) {
  BOOST_LEAF_AUTO(members, Members::Of(json, {"host", "incarnation", "sequence",
                                              "service", "servers"}));
  BOOST_LEAF_AUTO(host, members.Identifier<HostId>("host"));
  BOOST_LEAF_AUTO(incarnation, members.Identifier<Incarnation>("incarnation"));
  BOOST_LEAF_AUTO(sequence, members.Number("sequence"));
  BOOST_LEAF_AUTO(service, members.Identifier<ServiceId>("service"));
  BOOST_LEAF_AUTO(servers, members.List("servers"));
  PeerUse message{host, incarnation, sequence, service, {}};
  for (const Json::Value& entry : *servers) {
    BOOST_LEAF_AUTO(use, ServerUseFromJson(entry));
    message.servers.push_back(use);
  }
  return message;
}

Json::Value ToJson(const CrashEvidence& message) {
  Json::Value json(Json::objectValue);
  json["host"] = Hex(message.host.value());
  json["incarnation"] = Hex(message.incarnation.value());
  json["sequence"] = Hex(message.sequence);
  json["server"] = Hex(message.server.value());
  Json::Value& running = json["running"] = Json::Value(Json::arrayValue);
  for (const RequestId request : message.running)
    running.append(Hex(request.value()));
  return json;
}

leaf::result<CrashEvidence> CrashEvidenceFromJson(const Json::Value& json) {
  BOOST_LEAF_AUTO(members, Members::Of(json, {"host", "incarnation", "sequence",
                                              "server", "running"}));
  BOOST_LEAF_AUTO(host, members.Identifier<HostId>("host"));
  BOOST_LEAF_AUTO(incarnation, members.Identifier<Incarnation>("incarnation"));
  BOOST_LEAF_AUTO(sequence, members.Number("sequence"));
  BOOST_LEAF_AUTO(server, members.Identifier<BackendServerId>("server"));
  BOOST_LEAF_AUTO(running, members.List("running"));
  CrashEvidence message{host, incarnation, sequence, server, {}};
  for (const Json::Value& entry : *running) {
    BOOST_LEAF_AUTO(request, Members::HexValue(entry));
    message.running.emplace_back(request);
  }
  return message;
}

Json::Value ToJson(const SuspectCleared& message) {
  Json::Value json(Json::objectValue);
  json["request"] = Hex(message.request.value());
  return json;
}

leaf::result<SuspectCleared> SuspectClearedFromJson(const Json::Value& json) {
  BOOST_LEAF_AUTO(members, Members::Of(json, {"request"}));
  BOOST_LEAF_AUTO(request, members.Identifier<RequestId>("request"));
  return SuspectCleared{request};
}

}  // namespace comfreyvane
