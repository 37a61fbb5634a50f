/// @file
/// Client of the operators' endpoint.
#ifndef COMFREYVANE_CTL_OPERATOR_CLIENT_H_
#define COMFREYVANE_CTL_OPERATOR_CLIENT_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "comfreyvane/ctl/exchange.h"
#include "comfreyvane/operate/explain_query.h"
#include "comfreyvane/operate/message_codec.h"

namespace comfreyvane::ctl {

/// Asks entry hosts in turn until one answers. A change whose answer was lost
/// is repeated under its request id, which hosts recognise. The error object is
/// OperatorError or TransportError.
class OperatorClient {
 public:
  /// @param hosts tried in this order; at least one.
  /// @param token the operators' token.
  /// @param timeout for each host.
  /// @param exchange sends a request.
  OperatorClient(std::vector<HostAddress> hosts,
                 const std::string& token,
                 std::chrono::milliseconds timeout,
                 Exchange exchange);

  [[nodiscard]] boost::leaf::result<CheckResponse> Check(
      const CheckRequest& request) const;
  [[nodiscard]] boost::leaf::result<ConfigurationResponse> ReadConfiguration()
      const;
  [[nodiscard]] boost::leaf::result<StatusResponse> ReadStatus() const;
  [[nodiscard]] boost::leaf::result<ExplainResponse> Explain(
      const ExplainQuery& query) const;
  [[nodiscard]] boost::leaf::result<ChangeResponse> Apply(
      const ApplyRequest& request) const;
  [[nodiscard]] boost::leaf::result<ChangeResponse> Withdraw(
      const WithdrawRequest& request) const;
  [[nodiscard]] boost::leaf::result<ChangeResponse> Drain(
      const DrainRequest& request) const;

 private:
  template <typename Response>
  boost::leaf::result<Response> Get(std::string target) const;
  template <typename Response, typename Request>
  boost::leaf::result<Response> Post(std::string_view path,
                                     const Request& request) const;
  template <typename Response>
  boost::leaf::result<Response> Ask(const HttpRequest& request) const;

  std::vector<HostAddress> hosts_;
  std::string authorization_;
  std::chrono::milliseconds timeout_;
  Exchange exchange_;
};

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_OPERATOR_CLIENT_H_
