/// @file
/// Loads settings for a program.
#ifndef COMFREYVANE_SETTINGS_LOAD_OR_EXPLAIN_H_
#define COMFREYVANE_SETTINGS_LOAD_OR_EXPLAIN_H_

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <ostream>
#include <type_traits>
#include <utility>

#include "comfreyvane/settings/settings_errors.h"

namespace comfreyvane {

/// Loads settings, or writes what is wrong with them.
/// @param load returns a boost::leaf::result of settings; its errors are
///     SettingsErrors.
/// @param out for one line an error.
/// @return the settings, or nothing if there is an error.
template <typename Load>
[[nodiscard]] auto LoadOrExplain(Load load, std::ostream& out) {
  using Loaded = std::optional<std::decay_t<decltype(load().value())>>;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Loaded> {
        BOOST_LEAF_AUTO(settings, load());
        return Loaded(std::move(settings));
      },
      [&](const SettingsErrors& errors) {
        for (const SettingsError& error : errors.errors)
          out << error << '\n';
        return Loaded();
      },
      [&] {
        out << "the settings cannot be read\n";
        return Loaded();
      });
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_LOAD_OR_EXPLAIN_H_
