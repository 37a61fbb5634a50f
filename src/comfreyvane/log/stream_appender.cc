#include "comfreyvane/log/stream_appender.h"

#include <ostream>

namespace comfreyvane {

void StreamAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  layout->formatAndAppend(out_, event);
  out_.flush();
}

}  // namespace comfreyvane
