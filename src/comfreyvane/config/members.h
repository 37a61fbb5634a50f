/// @file
/// Members of the configuration's types, named once for writing and reading.
#ifndef COMFREYVANE_CONFIG_MEMBERS_H_
#define COMFREYVANE_CONFIG_MEMBERS_H_

#include <concepts>
#include <string>
#include <type_traits>

#include "comfreyvane/config/configuration.h"

namespace comfreyvane {

/// T is Object or const Object.
template <typename T, typename Object>
concept Either = std::same_as<std::remove_const_t<T>, Object>;

/// Calls visit(name, member) for each member, in the order of the text.
template <typename Visitor, Either<Region> T>
void VisitMembers(T& region, Visitor&& visit) {
  visit("name", region.name);
  visit("capacity", region.capacity);
}

template <typename Visitor, Either<RegionLink> T>
void VisitMembers(T& link, Visitor&& visit) {
  visit("first", link.first);
  visit("second", link.second);
  visit("megabits", link.megabits);
}

template <typename Visitor, Either<FailureDomain> T>
void VisitMembers(T& domain, Visitor&& visit) {
  visit("name", domain.name);
  visit("region", domain.region);
}

template <typename Visitor, Either<Site> T>
void VisitMembers(T& site, Visitor&& visit) {
  visit("name", site.name);
  visit("failure_domain", site.failure_domain);
  visit("provider", site.provider);
  visit("capacity", site.capacity);
}

template <typename Visitor, Either<SiteShare> T>
void VisitMembers(T& share, Visitor&& visit) {
  visit("site", share.site);
  visit("parts", share.parts);
}

template <typename Visitor, Either<Service> T>
void VisitMembers(T& service, Visitor&& visit) {
  visit("name", service.name);
  visit("path_prefix", service.path_prefix);
  visit("access", service.access);
  visit("once", service.once);
  visit("deadline_ms", service.deadline_ms);
  visit("shift_cap", service.shift_cap);
  visit("shares", service.shares);
}

template <typename Visitor, Either<BackendServer> T>
void VisitMembers(T& server, Visitor&& visit) {
  visit("name", server.name);
  visit("service", server.service);
  visit("site", server.site);
  visit("address", server.address);
  visit("port", server.port);
  visit("slots", server.slots);
  visit("connections", server.connections);
  visit("leaving", server.leaving);
}

template <typename Visitor, Either<KeyRecord> T>
void VisitMembers(T& key, Visitor&& visit) {
  visit("id", key.id);
  visit("sha256", key.sha256);
  visit("withdrawn", key.withdrawn);
}

template <typename Visitor, Either<Workspace> T>
void VisitMembers(T& workspace, Visitor&& visit) {
  visit("name", workspace.name);
  visit("weight", workspace.weight);
  visit("rate", workspace.rate);
  visit("burst", workspace.burst);
  visit("keys", workspace.keys);
}

/// Calls visit(kind, member name, objects) for each kind of object.
template <typename Visitor, Either<Configuration> T>
void VisitKinds(T& configuration, Visitor&& visit) {
  visit("region", "regions", configuration.regions);
  visit("link", "links", configuration.links);
  visit("failure-domain", "failure_domains", configuration.failure_domains);
  visit("site", "sites", configuration.sites);
  visit("service", "services", configuration.services);
  visit("backend-server", "backend_servers", configuration.backend_servers);
  visit("workspace", "workspaces", configuration.workspaces);
}

/// @return the name that tells an object from others of its kind.
template <typename Object>
[[nodiscard]] std::string ObjectName(const Object& object) {
  if constexpr (std::same_as<Object, RegionLink>)
    return object.first + '/' + object.second;
  else if constexpr (std::same_as<Object, SiteShare>)
    return object.site;
  else if constexpr (std::same_as<Object, KeyRecord>)
    return object.id;
  else
    return object.name;
}

/// A configuration is an object with a list for each kind.
template <typename Visitor, Either<Configuration> T>
void VisitMembers(T& configuration, Visitor&& visit) {
  VisitKinds(configuration, [&](const char*, const char* name, auto& objects) {
    visit(name, objects);
  });
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_MEMBERS_H_
