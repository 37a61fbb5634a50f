/// @file
/// How reading or writing a message failed.
#ifndef COMFREYVANE_NET_EXCHANGE_FAILURE_H_
#define COMFREYVANE_NET_EXCHANGE_FAILURE_H_

namespace comfreyvane {

/// How reading or writing a message on a connection ended.
enum class ExchangeFailure {
  kNone,
  kClosed,     ///< The other end closed or reset the connection.
  kTimeout,    ///< No progress within a timeout, or cancelled.
  kMalformed,  ///< The message breaks the protocol or ended early.
  kTooLarge,   ///< The body is over its limit.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_EXCHANGE_FAILURE_H_
