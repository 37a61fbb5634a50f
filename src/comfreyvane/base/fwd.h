/// @file
/// Forward declarations of package base.
#ifndef COMFREYVANE_BASE_FWD_H_
#define COMFREYVANE_BASE_FWD_H_

namespace comfreyvane {

template <typename Tag>
class BasicId;

struct WorkspaceTag;
struct ServiceTag;
struct SiteTag;
struct HostTag;
struct BackendServerTag;
struct RegionTag;
struct FailureDomainTag;
struct KeyTag;
struct RequestTag;

using WorkspaceId = BasicId<WorkspaceTag>;
using ServiceId = BasicId<ServiceTag>;
using SiteId = BasicId<SiteTag>;
using HostId = BasicId<HostTag>;
using BackendServerId = BasicId<BackendServerTag>;
using RegionId = BasicId<RegionTag>;
using FailureDomainId = BasicId<FailureDomainTag>;
using KeyId = BasicId<KeyTag>;
using RequestId = BasicId<RequestTag>;

class Revision;
class Incarnation;
class RandomSource;
struct Refusal;
enum class RefusalReason;
enum class RetryReason;
enum class RunState;

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_FWD_H_
