/// @file
/// What is to be explained.
#ifndef COMFREYVANE_OPERATE_EXPLAIN_QUERY_H_
#define COMFREYVANE_OPERATE_EXPLAIN_QUERY_H_

#include <string>

namespace comfreyvane {

/// Query of GET /v1/explain. Either request, or client and service, is set.
struct ExplainQuery {
  std::string request;  ///< Identifier of a request or refusal.
  std::string client;   ///< IP address of a client.
  std::string service;  ///< Name of a service.

  friend bool operator==(const ExplainQuery&, const ExplainQuery&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_EXPLAIN_QUERY_H_
