/// @file
/// Answers operators.
#ifndef COMFREYVANE_HOST_OPERATOR_DESK_H_
#define COMFREYVANE_HOST_OPERATOR_DESK_H_

#include <functional>
#include <string>
#include <string_view>

#include "comfreyvane/host/configuration_driver.h"
#include "comfreyvane/host/control_context.h"
#include "comfreyvane/operate/operator_error.h"

namespace comfreyvane {

/// An answer to an operator.
struct OperatorReply {
  unsigned status = 200;
  std::string body;
};

/// Serves the operators' endpoint on the control thread.
class OperatorDesk {
 public:
  using OnReply = std::function<void(OperatorReply)>;

  OperatorDesk(ControlContext& context,
               ConfigurationDriver& configurations,
               std::function<MemberViewPtr()> view);

  /// Answers a call whose token was checked.
  /// @param target path with its query.
  /// @param on_reply called once.
  void Serve(boost::beast::http::verb method,
             std::string_view target,
             const std::string& body,
             OnReply on_reply,
             TimePoint now);

  [[nodiscard]] static OperatorReply ErrorReply(OperatorErrorKind kind);

 private:
  [[nodiscard]] OperatorReply ServeCheck(const std::string& body) const;
  [[nodiscard]] OperatorReply ServeConfiguration() const;
  [[nodiscard]] OperatorReply ServeStatus(TimePoint now) const;
  [[nodiscard]] OperatorReply ServeExplain(std::string_view query,
                                           TimePoint now) const;
  void ServeApply(const std::string& body, OnReply on_reply, TimePoint now);
  void ServeWithdraw(const std::string& body, OnReply on_reply, TimePoint now);
  void ServeDrain(const std::string& body, OnReply on_reply, TimePoint now);
  void Accept(Configuration wanted,
              Revision base,
              const std::string& request_id,
              OnReply on_reply,
              TimePoint now);
  [[nodiscard]] std::shared_ptr<const Configuration> Newest() const;
  [[nodiscard]] Revision NewestRevision() const;

  ControlContext& context_;
  ConfigurationDriver& configurations_;
  std::function<MemberViewPtr()> view_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_OPERATOR_DESK_H_
