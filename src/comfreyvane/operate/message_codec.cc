#include "comfreyvane/operate/message_members.h"

#include "comfreyvane/config/object_codec.h"
#include "comfreyvane/operate/message_codec.h"

namespace comfreyvane {

template <OperatorMessage Message>
std::string WriteMessage(const Message& message) {
  return WriteObject(message);
}

template <OperatorMessage Message>
boost::leaf::result<Message> ReadMessage(std::string_view text) {
  return ReadObject<Message>(text);
}

template std::string WriteMessage(const CheckRequest&);
template std::string WriteMessage(const CheckResponse&);
template std::string WriteMessage(const ApplyRequest&);
template std::string WriteMessage(const ChangeResponse&);
template std::string WriteMessage(const ConfigurationResponse&);
template std::string WriteMessage(const WithdrawRequest&);
template std::string WriteMessage(const DrainRequest&);
template std::string WriteMessage(const StatusResponse&);
template std::string WriteMessage(const ExplainResponse&);
template std::string WriteMessage(const OperatorError&);
template boost::leaf::result<CheckRequest> ReadMessage(std::string_view);
template boost::leaf::result<CheckResponse> ReadMessage(std::string_view);
template boost::leaf::result<ApplyRequest> ReadMessage(std::string_view);
template boost::leaf::result<ChangeResponse> ReadMessage(std::string_view);
template boost::leaf::result<ConfigurationResponse> ReadMessage(
    std::string_view);
template boost::leaf::result<WithdrawRequest> ReadMessage(std::string_view);
template boost::leaf::result<DrainRequest> ReadMessage(std::string_view);
template boost::leaf::result<StatusResponse> ReadMessage(std::string_view);
template boost::leaf::result<ExplainResponse> ReadMessage(std::string_view);
template boost::leaf::result<OperatorError> ReadMessage(std::string_view);

}  // namespace comfreyvane
