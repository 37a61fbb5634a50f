/// @file
/// Forward declarations of package declare.
#ifndef COMFREYVANE_DECLARE_FWD_H_
#define COMFREYVANE_DECLARE_FWD_H_

namespace comfreyvane::declare {

class BackendServerBuilder;
class Deployment;
class Percent;
class ServiceBuilder;
class WorkspaceBuilder;
struct DeclarationErrors;
struct Megabits;
struct Requests;
struct RequestsPerSecond;
template <typename Tag>
class Handle;

}  // namespace comfreyvane::declare

#endif  // COMFREYVANE_DECLARE_FWD_H_
