#include "comfreyvane/edge/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace comfreyvane {
namespace {

/// Host names are case-insensitive; see RFC 9110, section 4.2.3.
std::string HostKey(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return key;
}

}  // namespace

RouteTable::RouteTable(std::uint64_t version,
                       std::vector<EdgeRoute> routes,
                       std::vector<EdgeService> services,
                       std::vector<EdgeWorkspace> workspaces,
                       CallerLimits limits)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      workspaces_(std::move(workspaces)),
      limits_(limits) {
  for (std::uint32_t i = 0; i < routes_.size(); ++i)
    by_host_[HostKey(routes_[i].host)].push_back(i);
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(),
                     [this](std::uint32_t a, std::uint32_t b) {
                       return routes_[a].prefix.size() >
                              routes_[b].prefix.size();
                     });
  }
  for (std::uint32_t i = 0; i < workspaces_.size(); ++i) {
    for (const std::string& key : workspaces_[i].keys)
      workspace_by_key_.emplace(key, i);
  }
  for (std::uint32_t i = 0; i < services_.size(); ++i)
    service_by_id_.emplace(ServiceId::Of(services_[i].name), i);
}

const EdgeRoute* RouteTable::Find(std::string_view host,
                                  std::string_view path) const {
  const auto found = by_host_.find(HostKey(host));
  if (found == by_host_.end())
    return nullptr;
  for (const std::uint32_t index : found->second) {
    if (path.starts_with(routes_[index].prefix))
      return &routes_[index];
  }
  return nullptr;
}

const EdgeWorkspace* RouteTable::WorkspaceOf(std::string_view key) const {
  const auto found = workspace_by_key_.find(std::string(key));
  return found == workspace_by_key_.end() ? nullptr
                                          : &workspaces_[found->second];
}

const EdgeService* RouteTable::FindService(ServiceId service) const {
  const auto found = service_by_id_.find(service);
  return found == service_by_id_.end() ? nullptr : &services_[found->second];
}

}  // namespace comfreyvane
