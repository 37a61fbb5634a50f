/// @file
/// Forward declarations of package config.
#ifndef COMFREYVANE_CONFIG_FWD_H_
#define COMFREYVANE_CONFIG_FWD_H_

namespace comfreyvane {

struct Region;
struct RegionLink;
struct FailureDomain;
struct Site;
struct BackendServer;
struct SiteShare;
struct Service;
struct KeyRecord;
struct Workspace;
struct Configuration;
struct ConfigurationChange;
struct ConfigurationError;
struct ConfigurationSection;
struct IndexedKey;
struct ParseError;
struct ParseErrors;
class CallerKey;
class ConfigurationIndex;
class JsonSource;
class KeyDigest;
class NameSet;
class ObjectReader;
class ObjectWriter;
class Validator;
enum class AccessPolicy;
enum class ChangeKind;
enum class ConfigurationErrorKind;
enum class OncePolicy;
enum class ParseErrorKind;

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_FWD_H_
