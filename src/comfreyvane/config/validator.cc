#include "comfreyvane/config/validator.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <map>
#include <tuple>
#include <utility>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/config/key_digest.h"

namespace comfreyvane {
namespace {

std::uint64_t IdOfName(const std::string& name) {
  return HashBytes(name);
}

bool IsWellFormedPathPrefix(const std::string& prefix) {
  return prefix.starts_with('/') &&
         std::all_of(prefix.begin(), prefix.end(), [](unsigned char c) {
           return c > ' ' && c < 0x7f && c != '?' && c != '#' && c != '"' &&
                  c != '\\';
         });
}

bool IsConnectableAddress(const std::string& text) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(text, error);
  return !error && !address.is_unspecified() && !address.is_multicast();
}

}  // namespace

Validator::Validator(const Configuration& configuration)
    : configuration_(configuration),
      regions_(IdOfName),
      failure_domains_(IdOfName),
      sites_(IdOfName),
      services_(IdOfName),
      backend_servers_(IdOfName),
      workspaces_(IdOfName),
      key_ids_(IdOfName) {}

void Validator::Run() {
  AddAllNames();
  CheckRegions();
  CheckLinks();
  CheckFailureDomains();
  CheckSites();
  CheckServices();
  CheckBackendServers();
  CheckWorkspaces();
}

template <typename Object>
void Validator::AddNames(const std::string& kind,
                         const std::vector<Object>& objects,
                         NameSet& names) {
  for (const Object& object : objects) {
    if (const auto fault = names.Add(object.name))
      AddError(*fault, kind + '/' + object.name, "name", object.name);
  }
}

void Validator::AddAllNames() {
  const auto check_some = [&](const char* member, bool empty) {
    if (empty)
      AddError(Kind::kEmpty, "configuration", member, "");
  };
  check_some("regions", configuration_.regions.empty());
  check_some("failure_domains", configuration_.failure_domains.empty());
  check_some("sites", configuration_.sites.empty());
  check_some("services", configuration_.services.empty());
  check_some("backend_servers", configuration_.backend_servers.empty());
  AddNames("region", configuration_.regions, regions_);
  AddNames("failure-domain", configuration_.failure_domains, failure_domains_);
  AddNames("site", configuration_.sites, sites_);
  AddNames("service", configuration_.services, services_);
  AddNames("backend-server", configuration_.backend_servers, backend_servers_);
  AddNames("workspace", configuration_.workspaces, workspaces_);
  for (const BackendServer& server : configuration_.backend_servers) {
    if (!server.leaving)
      served_.emplace(server.service, server.site);
  }
}

void Validator::CheckRegions() {
  for (const Region& region : configuration_.regions)
    CheckNotZero("region/" + region.name, "capacity", region.capacity);
}

void Validator::CheckLinks() {
  std::set<std::pair<std::string, std::string>> links;
  for (const RegionLink& link : configuration_.links) {
    const std::string object = "link/" + link.first + '/' + link.second;
    CheckKnown(object, "first", link.first, regions_, Kind::kUnknownRegion);
    CheckKnown(object, "second", link.second, regions_, Kind::kUnknownRegion);
    CheckNotZero(object, "megabits", link.megabits);
    if (link.first == link.second)
      AddError(Kind::kLinkToItself, object, "second", link.second);
    else if (!links.insert(std::minmax(link.first, link.second)).second)
      AddError(Kind::kDuplicateLink, object, "", "");
  }
}

void Validator::CheckFailureDomains() {
  for (const FailureDomain& domain : configuration_.failure_domains)
    CheckKnown("failure-domain/" + domain.name, "region", domain.region,
               regions_, Kind::kUnknownRegion);
}

void Validator::CheckSites() {
  std::map<std::string, std::uint64_t> capacities;
  for (const Region& region : configuration_.regions)
    capacities.emplace(region.name, region.capacity);
  std::map<std::string, std::string> region_of_domain;
  for (const FailureDomain& domain : configuration_.failure_domains)
    region_of_domain.emplace(domain.name, domain.region);
  for (const Site& site : configuration_.sites) {
    const std::string object = "site/" + site.name;
    CheckKnown(object, "failure_domain", site.failure_domain, failure_domains_,
               Kind::kUnknownFailureDomain);
    CheckNotZero(object, "capacity", site.capacity);
    if (!IsWellFormedName(site.provider))
      AddError(Kind::kMalformedName, object, "provider", site.provider);
    const auto capacity =
        capacities.find(region_of_domain[site.failure_domain]);
    if (capacity != capacities.end() && site.capacity > capacity->second)
      AddError(Kind::kCapacityExceeded, object, "capacity",
               std::to_string(site.capacity), capacity->second);
  }
}

void Validator::CheckServices() {
  for (const Service& service : configuration_.services) {
    const std::string object = "service/" + service.name;
    CheckPathPrefix(service, object);
    CheckNotZero(object, "deadline_ms", service.deadline_ms);
    CheckNotZero(object, "shift_cap", service.shift_cap);
    if (service.shift_cap > kWholeShare)
      AddError(Kind::kOverWhole, object, "shift_cap",
               std::to_string(service.shift_cap), kWholeShare);
    CheckShares(service, object);
  }
}

void Validator::CheckPathPrefix(const Service& service,
                                const std::string& object) {
  const std::string& prefix = service.path_prefix;
  if (!IsWellFormedPathPrefix(prefix))
    AddError(Kind::kMalformedPathPrefix, object, "path_prefix", prefix);
  else if (!path_prefixes_.insert(prefix).second)
    AddError(Kind::kDuplicatePathPrefix, object, "path_prefix", prefix);
}

void Validator::CheckShares(const Service& service, const std::string& object) {
  std::set<std::string> shared;
  std::uint64_t sum = 0;
  for (const SiteShare& share : service.shares) {
    sum += share.parts;
    if (!shared.insert(share.site).second)
      AddError(Kind::kDuplicateShare, object, "shares", share.site);
    if (share.parts > kWholeShare)
      AddError(Kind::kOverWhole, object, "shares", std::to_string(share.parts),
               kWholeShare);
    if (!sites_.Contains(share.site))
      AddError(Kind::kUnknownSite, object, "shares", share.site);
    else if (share.parts > 0 && !HasServer(service.name, share.site))
      AddError(Kind::kSharedSiteWithoutServer, object, "shares", share.site);
  }
  if (sum != kWholeShare)
    AddError(Kind::kSharesDoNotAddUp, object, "shares", std::to_string(sum),
             kWholeShare);
}

void Validator::CheckBackendServers() {
  std::set<std::tuple<std::string, std::string, std::uint16_t>> endpoints;
  for (const BackendServer& server : configuration_.backend_servers) {
    const std::string object = "backend-server/" + server.name;
    CheckKnown(object, "service", server.service, services_,
               Kind::kUnknownService);
    CheckKnown(object, "site", server.site, sites_, Kind::kUnknownSite);
    if (!IsConnectableAddress(server.address))
      AddError(Kind::kNotAnIpAddress, object, "address", server.address);
    CheckNotZero(object, "port", server.port);
    CheckNotZero(object, "slots", server.slots);
    CheckNotZero(object, "connections", server.connections);
    if (!endpoints.emplace(server.service, server.address, server.port).second)
      AddError(Kind::kDuplicateEndpoint, object, "port",
               std::to_string(server.port));
  }
}

void Validator::CheckWorkspaces() {
  for (const Workspace& workspace : configuration_.workspaces) {
    const std::string object = "workspace/" + workspace.name;
    CheckNotZero(object, "weight", workspace.weight);
    CheckNotZero(object, "rate", workspace.rate);
    CheckNotZero(object, "burst", workspace.burst);
    for (const KeyRecord& key : workspace.keys)
      CheckKey(key, object);
  }
}

void Validator::CheckKey(const KeyRecord& key, const std::string& workspace) {
  if (const auto fault = key_ids_.Add(key.id))
    AddError(*fault, workspace, "keys", key.id);
  if (!KeyDigest::FromHex(key.sha256))
    AddError(Kind::kMalformedKeyHash, workspace, "keys", key.id);
  else if (!key_hashes_.insert(key.sha256).second)
    AddError(Kind::kDuplicateKeyHash, workspace, "keys", key.id);
}

void Validator::CheckNotZero(const std::string& object,
                             const char* member,
                             std::uint64_t value) {
  if (value == 0)
    AddError(Kind::kZero, object, member, "0");
}

void Validator::CheckKnown(const std::string& object,
                           const char* member,
                           const std::string& name,
                           const NameSet& names,
                           Kind kind) {
  if (!names.Contains(name))
    AddError(kind, object, member, name);
}

bool Validator::HasServer(const std::string& service,
                          const std::string& site) const {
  return served_.contains({service, site});
}

void Validator::AddError(Kind kind,
                         const std::string& object,
                         const std::string& member,
                         const std::string& value,
                         std::uint64_t limit) {
  errors_.push_back({kind, object, member, value, limit});
}

}  // namespace comfreyvane
