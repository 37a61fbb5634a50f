/// @file
/// Hashing and making of keys.
#ifndef COMFREYVANE_CONFIG_KEYS_H_
#define COMFREYVANE_CONFIG_KEYS_H_

#include <string>
#include <string_view>

#include "comfreyvane/config/caller_key.h"

namespace comfreyvane {

/// @param bytes any bytes.
/// @return their SHA-256 as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string Sha256Hex(std::string_view bytes);

/// @param key a key in clear.
/// @return its SHA-256 as 64 lower-case hexadecimal digits, as KeyRecord has
///         it.
[[nodiscard]] std::string HashKey(const CallerKey& key);

/// @return a new key of 256 random bits: kKeyPrefix and kGeneratedKeyDigits
///         hexadecimal digits. Reads the operating system's random source, so
///         operators' tools may call it and decision cores may not.
[[nodiscard]] CallerKey GenerateKey();

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_KEYS_H_
