/// @file
/// Failure of an exchange with a host.
#ifndef COMFREYVANE_CTL_TRANSPORT_ERROR_H_
#define COMFREYVANE_CTL_TRANSPORT_ERROR_H_

namespace comfreyvane::ctl {

/// How an exchange failed. Travels as a Boost.LEAF error object.
enum class TransportError {
  kNotSent,    ///< No connection; the host has not seen the request.
  kNoAnswer,   ///< The host may have seen the request.
  kBadAnswer,  ///< The answer cannot be read.
};

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_TRANSPORT_ERROR_H_
