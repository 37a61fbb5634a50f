/// @file
/// Declared objects that others refer to.
#ifndef COMFREYVANE_DECLARE_HANDLE_H_
#define COMFREYVANE_DECLARE_HANDLE_H_

#include <compare>
#include <string>
#include <utility>

namespace comfreyvane::declare {

/// Refers to a declared object by its kind and name. Only a Deployment makes
/// one, so that a program cannot refer to what it has not declared.
/// @tparam Tag keeps handles of different kinds apart.
template <typename Tag>
class Handle {
 public:
  [[nodiscard]] const std::string& name() const { return name_; }

  friend auto operator<=>(const Handle&, const Handle&) = default;

 private:
  friend class Deployment;
  explicit Handle(std::string name) : name_(std::move(name)) {}

  std::string name_;
};

using RegionHandle = Handle<struct RegionHandleTag>;
using FailureDomainHandle = Handle<struct FailureDomainHandleTag>;
using SiteHandle = Handle<struct SiteHandleTag>;

}  // namespace comfreyvane::declare

#endif  // COMFREYVANE_DECLARE_HANDLE_H_
