#include "comfreyvane/declare/service_builder.h"

#include <algorithm>
#include <utility>

namespace comfreyvane::declare {

ServiceBuilder::ServiceBuilder(std::string name, std::string path_prefix) {
  value_.name = std::move(name);
  value_.path_prefix = std::move(path_prefix);
}

ServiceBuilder& ServiceBuilder::Open() {
  value_.access = AccessPolicy::kOpen;
  return *this;
}

ServiceBuilder& ServiceBuilder::RecordInStore() {
  value_.once = OncePolicy::kStoreRecord;
  return *this;
}

ServiceBuilder& ServiceBuilder::Deadline(std::chrono::milliseconds deadline) {
  value_.deadline_ms = static_cast<std::uint32_t>(deadline.count());
  return *this;
}

ServiceBuilder& ServiceBuilder::ShiftCap(Percent cap) {
  value_.shift_cap = cap.parts();
  return *this;
}

ServiceBuilder& ServiceBuilder::Share(const SiteHandle& site, Percent share) {
  const auto found = std::find_if(
      value_.shares.begin(), value_.shares.end(),
      [&](const SiteShare& declared) { return declared.site == site.name(); });
  if (found == value_.shares.end())
    value_.shares.push_back({site.name(), share.parts()});
  else
    found->parts = share.parts();
  return *this;
}

BackendServerBuilder& ServiceBuilder::AddBackendServer(std::string name) {
  return servers_.emplace_back(std::move(name), value_.name);
}

}  // namespace comfreyvane::declare
