#include "comfreyvane/once/ticket_text.h"

#include <array>
#include <boost/leaf/error.hpp>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/once/hex.h"

namespace comfreyvane {
namespace {

constexpr std::string_view kSignedPrefix = "comfreyvane-ticket-1-";
constexpr std::size_t kFields = 6;
constexpr std::size_t kSignatureHalf = 8;

std::uint64_t SignatureHalf(const TicketSignature& signature,
                            std::size_t start) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < kSignatureHalf; ++i)
    value = value << 8U | signature[start + i];
  return value;
}

void SetSignatureHalf(TicketSignature& signature,
                      std::size_t start,
                      std::uint64_t value) {
  for (std::size_t i = kSignatureHalf; i-- > 0; value >>= 8U)
    signature[start + i] = static_cast<std::uint8_t>(value & 255U);
}

void AppendUnsigned(std::string& text, const RequestTicket& ticket) {
  AppendHex(text, ticket.host.value());
  text.push_back('-');
  AppendHex(text, ticket.incarnation.value());
  text.push_back('-');
  AppendHex(text, ticket.serial);
  text.push_back('-');
  AppendHex(text, ticket.epoch);
}

}  // namespace

std::string ToText(const RequestTicket& ticket) {
  std::string text;
  AppendUnsigned(text, ticket);
  text.push_back('-');
  AppendHex(text, SignatureHalf(ticket.signature, 0));
  text.push_back('-');
  AppendHex(text, SignatureHalf(ticket.signature, kSignatureHalf));
  return text;
}

boost::leaf::result<RequestTicket> ParseTicket(std::string_view text) {
  std::array<std::uint64_t, kFields> fields{};
  if (!ParseHexFields(text, fields.data(), fields.size())) {
    return boost::leaf::new_error(
        Refusal{RefusalReason::kMalformedRequest, RunState::kUnknown});
  }
  RequestTicket ticket{.host = HostId(fields[0]),
                       .incarnation = Incarnation(fields[1]),
                       .serial = fields[2],
                       .epoch = fields[3]};
  SetSignatureHalf(ticket.signature, 0, fields[4]);
  SetSignatureHalf(ticket.signature, kSignatureHalf, fields[5]);
  return ticket;
}

std::string SignedBytes(const RequestTicket& ticket) {
  std::string bytes(kSignedPrefix);
  AppendUnsigned(bytes, ticket);
  return bytes;
}

}  // namespace comfreyvane
